package firwheel.bench.capacity;

/** Unit costs, such as bytes of a frame or heap of a row, from which the capacity model computes totals. */
public enum Slope {
    DISPATCH_BYTES("bytes", "dispatch frame without the request's body"),
    CHUNK_BYTES("bytes", "chunk frame without its data"),
    CREDIT_BYTES("bytes", "credit frame"),
    PROBE_BYTES("bytes", "probe frame"),
    REPORT_BYTES("bytes", "load report frame"),
    CLOCK_BYTES("bytes", "clock reading of an agent"),
    ANNOUNCE_BYTES("bytes", "announcement of a table revision"),
    PATCH_BYTES("bytes", "table change of one field as sent to peers"),
    SNAPSHOT_ROW_BYTES("bytes", "one row of a whole table as sent to peers"),
    AUDIT_RECORD_BYTES("bytes", "audit record of a change of one field as stored"),
    CLAIM_ROW_BYTES("bytes", "claim with a recorded answer of 200 bytes as stored"),
    LINK_HEAP_BYTES("bytes", "heap of one end of an idle link"),
    TABLE_ROW_HEAP_BYTES("bytes", "heap of one row of the table in force"),
    RANK_HEAP_BYTES("bytes", "heap of what an entry keeps of one rank's load"),
    ATTEMPT_HEAP_BYTES("bytes", "heap of an agent's record of one ended attempt"),
    FRAME_MICROS("microseconds", "encoding and decoding one chunk frame"),
    ROUTE_MICROS("microseconds", "one routing decision among 522 ranks"),
    GATE_MICROS("microseconds", "admission and end of one attempt"),
    ADOPT_MILLIS("milliseconds", "taking one change into a table of 12,000 rows");

    private final String unit;
    private final String description;

    Slope(String unit, String description) {
        this.unit = unit;
        this.description = description;
    }

    public String unit() {
        return unit;
    }

    /** Returns the text shown on the capacity page. */
    public String description() {
        return description;
    }
}
