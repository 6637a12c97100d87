package org.cyclamenpaddle.router.page;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.table.TableOrder;
import org.testng.annotations.Test;

public class ArchitecturePageTest {

    private static final Path ROOT = Path.of("..");
    private static final Pattern MODULE = Pattern.compile("<module>(.*?)</module>");
    private static final Pattern TYPE = Pattern.compile("`([A-Z][a-z]+[A-Z]?[A-Za-z]*)[.`]");
    private static final Pattern LINK = Pattern.compile("]\\(([^)#:]+)(#[^)]*)?\\)");

    @Test
    public void listsEveryModuleOfTheBuild() throws IOException {
        List<String> modules =
                MODULE.matcher(Files.readString(ROOT.resolve("pom.xml")))
                        .results()
                        .map(match -> match.group(1))
                        .sorted()
                        .toList();

        assertEquals(
                new DocPage("ARCHITECTURE.md").codeCells().stream().sorted().toList(), modules);
    }

    @Test
    public void namesTheTablesInTheOrderOfTheirLocks() {
        String order =
                Arrays.stream(TableOrder.values())
                        .map(table -> DocPage.code(table.name()))
                        .collect(Collectors.joining(", "));

        new DocPage("ARCHITECTURE.md").assertContainsIgnoringLineBreaks(order);
    }

    @Test
    public void namesEveryPackageOfTheRouter() throws IOException {
        DocPage page = new DocPage("ARCHITECTURE.md");
        Path sources = Path.of("src", "main", "java", "org", "cyclamenpaddle", "router");
        List<String> packages;
        try (Stream<Path> entries = Files.list(sources)) {
            packages =
                    entries.filter(Files::isDirectory)
                            .map(directory -> directory.getFileName().toString())
                            .toList();
        }

        assertTrue(packages.size() > 1, packages.toString());
        packages.forEach(page::assertNamesAsCode);
    }

    @Test
    public void everyTypeThatItNamesExists() throws IOException {
        Set<String> types;
        try (Stream<Path> files = Files.walk(ROOT)) {
            types =
                    files.map(file -> file.getFileName().toString())
                            .filter(name -> name.endsWith(".java"))
                            .map(name -> name.substring(0, name.length() - ".java".length()))
                            .collect(Collectors.toSet());
        }
        List<String> named =
                TYPE.matcher(Files.readString(ROOT.resolve("docs").resolve("ARCHITECTURE.md")))
                        .results()
                        .map(match -> match.group(1))
                        .toList();

        assertTrue(named.size() > 10, named.toString());
        assertEquals(named.stream().filter(type -> !types.contains(type)).toList(), List.of());
    }

    @Test
    public void everyLinkOfAPageLeadsToAFile() throws IOException {
        List<Path> pages;
        try (Stream<Path> docs = Files.walk(ROOT.resolve("docs"))) {
            pages =
                    Stream.concat(Stream.of(ROOT.resolve("README.md")), docs)
                            .filter(file -> file.toString().endsWith(".md"))
                            .toList();
        }
        for (Path page : pages) {
            Matcher links = LINK.matcher(Files.readString(page));
            while (links.find()) {
                Path target = page.resolveSibling(links.group(1));
                assertTrue(Files.exists(target), page + " leads to " + links.group(1));
            }
        }
    }
}
