/*
 * Remembers which version of an engine's software began each resumable stream. Versions write streams that do not fit
 * together, so a stream goes on only at the version that began it, whichever VM the caller comes back to.
 *
 * While all engines of a service have one version, there is nothing to tell the peers. Once a second version is
 * listed, each VM reports the streams that it began. A stream of unknown origin goes on only if no second version can
 * have begun it: the list of endpoints was read lately, and no other version has been seen for as long as a stream may
 * last. A VM that has just started waits for the reports of its peers, which may have seen another one. A VM begins no
 * stream at a new version until every VM whose list counts as recent has read of that version.
 */
package io.daisybend.serving.stream

import com.dynatrace.hash4j.hashing.Hashing

/** A version of the software of engines; [name] is null if the list of endpoints does not tell it. */
@JvmInline
public value class SoftwareVersion(public val name: String?)

/** The origin of a stream: the version at which the stream with this [hash] began at [service]. */
public data class StreamOrigin(val hash: Long, val service: String, val version: SoftwareVersion)

/** Where a stream that a caller takes up again may go on. */
public sealed interface Continuation {
    /** At any engine of the service. */
    public data object Anywhere : Continuation

    /** At engines with [version] only. */
    public data class AtVersion(val version: SoftwareVersion) : Continuation

    /** At no engine: several versions may have begun it. */
    public data object Unknown : Continuation
}

/** Times and limits of [StreamOrigins]. */
public data class StreamOriginSettings(
    /** How long streams and versions are remembered, in milliseconds: longer than a caller's deadline. */
    val retentionMs: Long = 30_000,
    /** Age up to which the list of endpoints is recent, in milliseconds: two reads of it. */
    val maxListAgeMs: Long = 2_000,
    /** Number of successive reports that contain the origin of a stream, since reports may be lost. */
    val reportRepeats: Int = 3,
    /** Number of streams remembered at most: some 8 MB. */
    val maxStreams: Int = 50_000,
)

/**
 * The origins of streams; [hasPeers] tells whether there are other VMs, and [requestEarlyReport] is called when a
 * caller may come back before the next report.
 */
public class StreamOrigins(
    private val settings: StreamOriginSettings = StreamOriginSettings(),
    private val hasPeers: () -> Boolean = { false },
    private val requestEarlyReport: () -> Unit = {},
) {
    private class Known(val origin: StreamOrigin, val begunAtMs: Long, val isOwn: Boolean) {
        var reportCount = 0
    }

    private class Seen(val firstMs: Long) {
        var lastMs = firstMs
    }

    private val lock = Any()
    private val streams = LinkedHashMap<Long, Known>()
    private val versionsByService = HashMap<String, LinkedHashMap<SoftwareVersion, Seen>>()
    private var firstListedAtMs: Long? = null
    private var hasHeardPeer = false

    /** Applies the [versions] of the endpoints that are listed at [nowMs], by service. */
    public fun onListed(versions: Map<String, Set<SoftwareVersion>>, nowMs: Long): Unit = synchronized(lock) {
        if (firstListedAtMs == null) firstListedAtMs = nowMs
        versions.forEach { (service, listed) -> listed.forEach { onSeen(service, it, nowMs) } }
        versionsByService.values.forEach { seen -> seen.values.removeIf { isExpired(it.lastMs, nowMs) } }
        versionsByService.values.removeIf { it.isEmpty() }
    }

    private fun onSeen(service: String, version: SoftwareVersion, nowMs: Long) {
        val seen = versionsByService.getOrPut(service) { LinkedHashMap() }
        seen.getOrPut(version) { Seen(nowMs) }.lastMs = nowMs
    }

    private fun isExpired(lastMs: Long, nowMs: Long) = nowMs - lastMs > settings.retentionMs

    private fun hasSeveralVersions(service: String) = versionsByService[service].orEmpty().size > 1

    /** Returns whether a stream may begin at [version] of [service]: it is not new, or the only one. */
    public fun mayBegin(service: String, version: SoftwareVersion, nowMs: Long): Boolean = synchronized(lock) {
        if (!hasSeveralVersions(service)) return true
        val seen = versionsByService.getValue(service)
        val firstMs = seen[version]?.firstMs ?: return false
        nowMs - firstMs >= settings.maxListAgeMs || firstMs == seen.values.minOf { it.firstMs }
    }

    /** Records that the caller's attempt [stream] gets its first event from [version] of [service]. */
    public fun onBegun(stream: String, service: String, version: SoftwareVersion, nowMs: Long): Unit =
        synchronized(lock) { remember(StreamOrigin(hashOf(stream, service), service, version), nowMs, isOwn = true) }

    /** Requests an early report if the answer to [stream] at [service] was interrupted and no peer knows its origin. */
    public fun onInterrupted(stream: String, service: String) {
        val isUnreported = synchronized(lock) {
            hasSeveralVersions(service) &&
                streams[hashOf(stream, service)]?.let { it.isOwn && it.reportCount == 0 } == true
        }
        if (isUnreported) requestEarlyReport()
    }

    /**
     * Returns where [stream], null if the caller names none, may go on at [service] at [nowMs], when the list of
     * endpoints was read [listAgeMs] ago.
     */
    public fun continuationOf(stream: String?, service: String, listAgeMs: Long, nowMs: Long): Continuation =
        synchronized(lock) {
            val known = stream?.let { streams[hashOf(it, service)] }
            when {
                known != null -> Continuation.AtVersion(known.origin.version)
                hasSeveralVersions(service) || listAgeMs > settings.maxListAgeMs -> Continuation.Unknown
                isInformed(nowMs) -> Continuation.Anywhere
                else -> Continuation.Unknown
            }
        }

    /** Returns whether this VM, or a peer that told it, has watched the list long enough to know other versions. */
    private fun isInformed(nowMs: Long): Boolean {
        val watchedMs = nowMs - (firstListedAtMs ?: return false)
        return watchedMs > settings.retentionMs ||
            (watchedMs >= settings.maxListAgeMs && (hasHeardPeer || !hasPeers()))
    }

    /** Returns whether [stream] is known to have begun at [service]. */
    public fun hasBegunAt(stream: String, service: String): Boolean =
        synchronized(lock) { hashOf(stream, service) in streams }

    /** Returns the origins for a report to all peers at [nowMs]. */
    public fun reportChanges(nowMs: Long): List<StreamOrigin> = synchronized(lock) {
        ownReportable(nowMs).filter { it.reportCount < settings.reportRepeats }.onEach { it.reportCount++ }
            .map { it.origin }
    }

    /** Returns the origins of all streams of this VM, for a peer that may know none of them. */
    public fun reportAll(nowMs: Long): List<StreamOrigin> =
        synchronized(lock) { ownReportable(nowMs).map { it.origin } }

    private fun ownReportable(nowMs: Long) = streams.values.filter {
        it.isOwn && hasSeveralVersions(it.origin.service) && !isExpired(it.begunAtMs, nowMs)
    }

    /** Applies the origins that a peer reported; they also tell which versions serve. */
    public fun onPeerOrigins(origins: List<StreamOrigin>, nowMs: Long): Unit = synchronized(lock) {
        hasHeardPeer = true
        origins.forEach {
            onSeen(it.service, it.version, nowMs)
            remember(it, nowMs, isOwn = false)
        }
    }

    private fun remember(origin: StreamOrigin, nowMs: Long, isOwn: Boolean) {
        if (origin.hash in streams) return
        val oldest = streams.values.iterator()
        while (oldest.hasNext()) {
            val isDispensable = isExpired(oldest.next().begunAtMs, nowMs) || streams.size >= settings.maxStreams
            if (!isDispensable) break
            oldest.remove()
        }
        streams[origin.hash] = Known(origin, nowMs, isOwn)
    }

    private fun hashOf(stream: String, service: String) =
        hasher.hashStream().putString(stream).putString(service).asLong

    private companion object {
        val hasher = Hashing.komihash5_0()
    }
}
