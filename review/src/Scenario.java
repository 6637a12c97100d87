import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Base of the scenarios: store, relays, record, and the exit code. */
abstract class Scenario {

    static final String GEN_SERVICE = "huvo11a";
    static final String PLAIN_SERVICE = "wuno96b";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    long timeoutMillis = 14_000;
    Store store;
    Path folder;
    final List<AutoCloseable> opened = new ArrayList<>();

    /** Returns whether the rule held. */
    abstract boolean run() throws Exception;

    static void main(Scenario scenario, String[] args) {
        int code = 2;
        try {
            scenario.folder = Files.createTempDirectory("review");
            scenario.record = new Record(Path.of(args[0]));
            scenario.record.log("trouble %s", scenario.trouble);
            scenario.store = new Store();
            code = scenario.run() ? 0 : 1;
            scenario.record.log("result: %s", code == 0 ? "the rule held" : "the rule was broken");
        } catch (Throwable failure) {
            failure.printStackTrace();
            if (scenario.record != null) {
                scenario.record.log("could not run: %s", failure);
            }
        }
        for (AutoCloseable resource : scenario.opened) {
            try {
                resource.close();
            } catch (Exception ignored) {
                // Ends with this process.
            }
        }
        if (System.getenv("KEEP") == null && scenario.folder != null) {
            try (var files = Files.walk(scenario.folder)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (Exception ignored) {
                // Temporary files.
            }
        }
        System.out.println("exit " + code + " folder " + scenario.folder);
        System.exit(code);
    }

    static void require(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException(what);
        }
    }

    <T extends AutoCloseable> T keep(T resource) {
        opened.add(resource);
        return resource;
    }

    Relay relay(String name) throws Exception {
        return relay(name, "z1");
    }

    Relay relay(String name, String zone) throws Exception {
        Relay relay = keep(new Relay(name, store.port(), folder, zone));
        relay.start();
        return relay;
    }

    /** Writes a configuration like that of the sheet, with a plain and a model service. */
    void configure(int version, int targetMillis, boolean resumable) {
        store.put("config", "main", ("{'version':" + version + ",'routes':["
                + "{'name':'r-safe','host':'ficu95.example','path_prefix':'/cufi504/','route_kind':'safe','timeout_ms':1500,"
                + "'target_latency_ms':100,'priority':2,'service':'wuno96b','max_attempts':2},"
                + "{'name':'r-book','host':'ficu95.example','path_prefix':'/puxa403/','route_kind':'unsafe','timeout_ms':1500,"
                + "'target_latency_ms':100,'priority':2,'service':'wuno96b','max_attempts':1},"
                + "{'name':'r-gen','host':'ficu95.example','path_prefix':'/lohu930/','route_kind':'streaming','timeout_ms':" + timeoutMillis + ","
                + "'target_latency_ms':" + targetMillis + ",'priority':1,'service':'huvo11a','max_attempts':2,'sticky':true,"
                + "'resumable':" + resumable + ",'target_gap_ms':300}],"
                + "'services':[{'name':'huvo11a','health_path':'/health','max_connections':360,'protocol':'h1','tls':false,"
                + "'engine':{'slots':64,'kv_capacity':53697,'token_kv_bytes':18432,'link_mbps':740000.0,'moves':true,'backups':true,"
                + "'stride':13,'most':12,'kv_hold_s':0.5,'stage_switch_s':6.0,'pin_ms':4000.0,'hold_ms':2000.0,'models':[{'name':'m'}]}},"
                + "{'name':'wuno96b','health_path':'/health','max_connections':96,'protocol':'h1','tls':false}],"
                + "'limits':{'max_header_bytes':16384,'max_body_bytes':4194304,'header_timeout_ms':3000,'idle_timeout_ms':15000}}")
                .replace('\'', '"'));
    }
}
