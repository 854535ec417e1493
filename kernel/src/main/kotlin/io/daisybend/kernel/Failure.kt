/*
 * The root of all typed failures. Each module declares a sealed hierarchy of its own below it and returns failures in
 * a kotlin-result Result; exceptions stay inside the adapters of libraries.
 */
package io.daisybend.kernel

/** A failure with a type and a message that says what was expected and what came. */
public interface Failure {
    /** Says what was expected and what came. */
    public val message: String
}
