package firwheel.cli;

import firwheel.model.ResultCode;

/** Exit codes of the process. */
enum ExitCode {
    SUCCESS(0),
    FAILED(1),
    BAD_INPUT(2),
    CONFLICT(3),
    PLATFORM_UNREACHABLE(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    /** Returns the exit code for a failure with this result code. */
    static ExitCode of(ResultCode code) {
        return switch (code) {
            case BAD_SETTINGS,
                    BAD_USAGE,
                    FILE_UNREADABLE,
                    TABLE_SYNTAX,
                    TABLE_FIELD,
                    TABLE_DUPLICATE,
                    TABLE_RANKS,
                    TABLE_EMPTY_MODEL -> BAD_INPUT;
            case TABLE_CONFLICT, TABLE_BASE_UNKNOWN -> CONFLICT;
            case PLATFORM_UNREACHABLE, PLATFORM_RATE_LIMITED, PLATFORM_UNKNOWN -> PLATFORM_UNREACHABLE;
            default -> FAILED;
        };
    }
}
