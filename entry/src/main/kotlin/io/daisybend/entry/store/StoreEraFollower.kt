package io.daisybend.entry.store

import io.daisybend.platform.StoreClient

/**
 * Tells a user of [store] once for each time that the store has come back from an older copy: what the user remembers
 * of offsets and of its own writes is void then. Used by one coroutine.
 */
internal class StoreEraFollower(private val store: StoreClient) {
    /** The era that is followed, or null before the first contact. */
    var followedEra: Long? = null
        private set

    /** Returns whether the era has changed since the last call of [follow], or since the first contact. */
    fun hasChanged(): Boolean {
        val era = store.era
        if (followedEra == null) followedEra = era
        return era != followedEra
    }

    /** Follows the current era; returns whether it has changed since the last call. */
    fun follow(): Boolean {
        val era = store.era
        val hasChanged = followedEra != null && era != followedEra
        followedEra = era
        return hasChanged
    }
}
