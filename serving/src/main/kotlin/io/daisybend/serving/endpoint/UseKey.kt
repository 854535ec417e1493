/*
 * Keys under which uses of models and of their adapters are counted, in one map for both.
 */
package io.daisybend.serving.endpoint

private const val SEPARATOR = '/'

/** Returns the key of [model], or of its [adapter]. */
public fun useKey(model: String, adapter: String?): String = adapter?.let { "$model$SEPARATOR$it" } ?: model

/** Returns the key of an adapter. */
public fun AdapterKey.useKey(): String = useKey(model, adapter)

/** Returns the model that [useKey] names, alone or with an adapter. */
public fun modelOf(useKey: String): String = useKey.substringBefore(SEPARATOR)

/** Returns the adapter that [useKey] names, or null when it names a model. */
public fun adapterOf(useKey: String): AdapterKey? =
    if (SEPARATOR in useKey) AdapterKey(modelOf(useKey), useKey.substringAfter(SEPARATOR)) else null
