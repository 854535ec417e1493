/*
 * Root type of all typed failures. Each module declares its own sealed hierarchy of failures and returns them in a
 * kotlin-result Result; exceptions do not leave the code that wraps a library.
 */
package io.daisybend.kernel

/** Typed failure with a message for operators. */
public interface Failure {
    /** Message that states what was expected and what was found. */
    public val message: String
}
