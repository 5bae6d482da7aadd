package firwheel.table;

import firwheel.model.RankAddress;
import firwheel.model.TargetRow;
import java.math.BigDecimal;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Columns of the table file, in file order. */
public enum TableColumn {
    NAME("name"),
    KIND("kind"),
    MODELS("models"),
    AVAILABILITY_ZONE("availability_zone"),
    STATE("state"),
    WEIGHT("weight"),
    MAX_IN_FLIGHT("max_in_flight"),
    MAX_QUEUE("max_queue"),
    MAX_TOKENS_IN_FLIGHT("max_tokens_in_flight"),
    IDEMPOTENT("idempotent"),
    HOSTS("hosts"),
    CHECKS_ORDERS("checks_orders"),
    FENCES_ORDERS("fences_orders"),
    SKEW_PRICE("skew_price"),
    MOVE_PRICE("move_price");

    private final String header;

    TableColumn(String header) {
        this.header = header;
    }

    /** Returns the column name used in the header line. */
    public String header() {
        return header;
    }

    /** Formats the field of a row as in the table file. */
    public String format(TargetRow row) {
        return switch (this) {
            case NAME -> row.name();
            case KIND -> lower(row.kind());
            case MODELS -> String.join(";", row.models());
            case AVAILABILITY_ZONE -> row.availabilityZone();
            case STATE -> lower(row.state());
            case WEIGHT -> decimal(row.weight());
            case MAX_IN_FLIGHT -> String.valueOf(row.maxInFlight());
            case MAX_QUEUE -> String.valueOf(row.maxQueue());
            case MAX_TOKENS_IN_FLIGHT -> String.valueOf(row.maxTokensInFlight());
            case IDEMPOTENT -> String.valueOf(row.idempotent());
            case HOSTS -> hosts(row.hosts());
            case CHECKS_ORDERS -> String.valueOf(row.checksOrders());
            case FENCES_ORDERS -> String.valueOf(row.fencesOrders());
            case SKEW_PRICE -> decimal(row.skewPrice());
            case MOVE_PRICE -> decimal(row.movePrice());
        };
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static String decimal(double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }

    private static String hosts(List<RankAddress> hosts) {
        return hosts.stream().map(host -> host.rank() + ":" + host.endpoint()).collect(Collectors.joining(";"));
    }
}
