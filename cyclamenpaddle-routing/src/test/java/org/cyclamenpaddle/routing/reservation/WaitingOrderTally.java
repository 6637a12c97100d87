package org.cyclamenpaddle.routing.reservation;

/** Outcome of the requests of one class that arrived in one interval. */
final class WaitingOrderTally {

    private int mRequests;
    private int mInTime;
    private int mServed;
    private double mValue;

    void arrived() {
        mRequests++;
    }

    void served(boolean inTime, double value) {
        mServed++;
        mInTime += inTime ? 1 : 0;
        mValue += value;
    }

    double inTimeShare() {
        return (double) mInTime / Math.max(1, mRequests);
    }

    double servedShare() {
        return (double) mServed / Math.max(1, mRequests);
    }

    double value() {
        return mValue;
    }

    WaitingOrderTally plus(WaitingOrderTally other) {
        WaitingOrderTally sum = new WaitingOrderTally();
        sum.mRequests = mRequests + other.mRequests;
        sum.mInTime = mInTime + other.mInTime;
        sum.mServed = mServed + other.mServed;
        sum.mValue = mValue + other.mValue;
        return sum;
    }
}
