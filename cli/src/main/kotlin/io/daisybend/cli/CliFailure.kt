/*
 * Failures of the operators' tool and their exit codes: 1 if the daemon refused the command, 2 for invalid arguments or
 * local files, 3 if no daemon responded, 4 if the configuration was changed concurrently, 5 if a change is recorded but
 * not yet confirmed by most VMs, 6 if the outcome of a change is unknown.
 */
package io.daisybend.cli

import io.daisybend.kernel.Failure

/** Reason why a command failed; the tool exits with [exitCode]. */
public sealed class CliFailure : Failure {
    /** Exit code of the process. */
    public abstract val exitCode: Int

    /** The arguments or the local files are invalid. */
    public data class Usage(override val message: String) : CliFailure() {
        override val exitCode: Int = 2
    }

    /** The daemon refused the command, or a local check failed; [status] is 0 without an HTTP response. */
    public data class Refused(val status: Int, val type: String, override val message: String) : CliFailure() {
        override val exitCode: Int
            get() = when (type) {
                "revision_conflict" -> 4
                "outcome_unknown" -> 6
                else -> 1
            }
    }

    /** No daemon responded at any of the configured addresses. */
    public data class Unreachable(override val message: String) : CliFailure() {
        override val exitCode: Int = 3
    }

    /** The change is in the log, but most VMs have not confirmed it yet. */
    public data class Unconfirmed(val changeId: String, val revision: Long) : CliFailure() {
        override val exitCode: Int = 5
        override val message: String =
            "expected most VMs to confirm change $changeId, got only a record at revision $revision"
    }
}
