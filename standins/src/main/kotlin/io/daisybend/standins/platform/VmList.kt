/*
 * The stand-in's list of VMs. Changes become visible after a delay.
 */
package io.daisybend.standins.platform

import kotlinx.serialization.json.JsonObject

internal class VmList {
    private class Version(val atMs: Long, val entry: JsonObject?)

    private val versions = HashMap<String, ArrayDeque<Version>>()

    @Synchronized
    fun put(vmId: String, entry: JsonObject) = add(vmId, entry)

    @Synchronized
    fun remove(vmId: String) = add(vmId, null)

    /**
     * Returns the entries as of [lagMs] milliseconds ago, without those whose last refresh was more than [expiryMs]
     * before that time.
     */
    @Synchronized
    fun visible(lagMs: Long, expiryMs: Long): List<JsonObject> {
        val asOfMs = System.currentTimeMillis() - lagMs
        return versions.keys.sorted().mapNotNull { vmId ->
            val version = versions.getValue(vmId).lastOrNull { it.atMs <= asOfMs }
            version?.entry?.takeIf { asOfMs - version.atMs <= expiryMs }
        }
    }

    private fun add(vmId: String, entry: JsonObject?) {
        val history = versions.getOrPut(vmId) { ArrayDeque() }
        history += Version(System.currentTimeMillis(), entry)
        while (history.size > MAX_VERSIONS) history.removeFirst()
    }

    private companion object {
        const val MAX_VERSIONS = 100
    }
}
