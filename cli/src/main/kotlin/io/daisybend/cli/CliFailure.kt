/*
 * Why a command of the operators' tool failed, with the exit code that scripts see: 1 for a refused command, 2 for
 * wrong arguments, 3 when no daemon answers, 4 when another operator was faster, 5 when a change is recorded but not
 * yet confirmed by most VMs, 6 when its outcome is unknown.
 */
package io.daisybend.cli

import io.daisybend.kernel.Failure

/** A command that failed; the tool exits with [exitCode]. */
public sealed class CliFailure : Failure {
    /** The process's exit code. */
    public abstract val exitCode: Int

    /** The arguments or local files are wrong. */
    public data class Usage(override val message: String) : CliFailure() {
        override val exitCode: Int = 2
    }

    /** The daemon refused the command. */
    public data class Refused(val status: Int, val type: String, override val message: String) : CliFailure() {
        override val exitCode: Int
            get() = when (type) {
                "revision_conflict" -> 4
                "outcome_unknown" -> 6
                else -> 1
            }
    }

    /** No daemon answered at any given address. */
    public data class Unreachable(override val message: String) : CliFailure() {
        override val exitCode: Int = 3
    }

    /** The change is in the log, but most VMs have not confirmed it yet. */
    public data class RecordedOnly(val changeId: String, val revision: Long) : CliFailure() {
        override val exitCode: Int = 5
        override val message: String =
            "expected most VMs to confirm change $changeId, it is recorded at revision $revision and not confirmed yet"
    }
}
