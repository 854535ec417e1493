/*
 * Why a command of the operators' tool failed, with the exit code that scripts see: 1 for a refused command, 2 for
 * wrong arguments, 3 when no daemon answers.
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
        override val exitCode: Int = 1
    }

    /** No daemon answered at any given address. */
    public data class Unreachable(override val message: String) : CliFailure() {
        override val exitCode: Int = 3
    }
}
