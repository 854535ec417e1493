/*
 * The parts of a prompt as engines cache them: by the model, the adapter and the id of the part, in 8 bytes, so that
 * VMs can tell each other in few bytes what they sent where.
 */
package io.daisybend.serving.endpoint

import com.dynatrace.hash4j.hashing.Hashing

/** A part of a prompt for one model and adapter, by its [hash]. */
public data class PrefixPart(val hash: Long, val tokens: Int)

/** The parts of a prompt in their order, of which all but the last [unsharedTokens] tokens may be in other prompts. */
public data class PromptPrefix(val modelHash: Int, val shared: List<PrefixPart>, val unsharedTokens: Int)

private val hasher = Hashing.komihash5_0()

/** Longest part in tokens that counts; a longer one is a fault of the caller. */
private const val MAX_PART_TOKENS = 1_000_000

/** Parts of one prompt that count. */
private const val MAX_PARTS = 16

/** Returns the hash under which the cached parts of [model] and [adapter] are found when it is unloaded. */
public fun modelHashOf(model: String, adapter: String?): Int =
    hasher.hashStream().putString(model).putString(adapter.orEmpty()).asLong.toInt()

/** Returns the parts of the prompt of this demand, or null if it names none. */
public fun ModelDemand.promptPrefix(): PromptPrefix? {
    if (parts.isEmpty()) return null
    val shared = sharedParts.take(MAX_PARTS).takeWhile { it.tokens in 1..MAX_PART_TOKENS }.map {
        val hash = hasher.hashStream().putString(model).putString(adapter.orEmpty()).putString(it.id).asLong
        PrefixPart(hash, it.tokens)
    }
    val sharedTokens = shared.sumOf { it.tokens.toLong() }
    val unshared = (promptTokens - sharedTokens).coerceIn(0, MAX_PART_TOKENS.toLong()).toInt()
    return PromptPrefix(modelHashOf(model, adapter), shared, unshared)
}
