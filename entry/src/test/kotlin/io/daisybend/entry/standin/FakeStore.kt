/*
 * Fake of the platform's store that follows its published interface: logs with offsets and conditional appends, and the
 * newest record of each key. It can be made unavailable, and can come back from an older copy in a new era.
 */
package io.daisybend.entry.standin

import io.daisybend.platform.Header
import io.daisybend.platform.readKeyedRecord
import io.daisybend.platform.writeKeyedRecord
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonPrimitive
import java.nio.ByteBuffer
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap

internal class FakeStore {
    private val logs = HashMap<String, ArrayList<ByteArray>>()

    private val readCounts = ConcurrentHashMap<String, Int>()

    /** Returns the number of reads of [topic]. */
    fun readCount(topic: String): Int = readCounts[topic] ?: 0

    /** Whether calls are refused. */
    @Volatile
    var isDown = false

    private var era = 1L

    /** Returns a copy of all logs. */
    fun copy(): Map<String, List<ByteArray>> = synchronized(logs) { logs.mapValues { it.value.toList() } }

    /** Replaces all logs by an older [copy]; offsets are given out again, and the era rises. */
    fun restore(copy: Map<String, List<ByteArray>>) = synchronized(logs) {
        logs.clear()
        copy.forEach { (topic, records) -> logs[topic] = ArrayList(records) }
        era++
    }

    /** Returns the number of records of [topic]. */
    fun endOf(topic: String): Int = synchronized(logs) { logs[topic]?.size ?: 0 }

    /** Appends [value] for [key] to [topic]; null deletes the key. */
    fun put(topic: String, key: String, value: String?) = synchronized(logs) {
        logs.getOrPut(topic) { ArrayList() }.add(writeKeyedRecord(key, value.orEmpty().encodeToByteArray()))
    }

    suspend fun handle(call: FakeServerCall) {
        if (isDown) return call.respond(503)
        val query = call.head.target.substringAfter('?', "").split('&').associate {
            it.substringBefore('=') to
                it.substringAfter('=')
        }
        val topic = query.getValue("topic")
        if (call.head.path != "/daisybend/log-append") readCounts.merge(topic, 1, Int::plus)
        when (call.head.path) {
            "/daisybend/log-append" -> append(call, topic, query["at"]?.toLong())
            "/daisybend/log-read" -> read(call, topic, query.getValue("from").toInt(), query["waitMs"]?.toLong() ?: 0)
            "/daisybend/log-newest" -> newest(call, topic)
            else -> call.respond(404)
        }
    }

    private suspend fun append(call: FakeServerCall, topic: String, at: Long?) {
        val record = call.body.copyOfRange(4, call.body.size)
        val (status, offset) = synchronized(logs) {
            val log = logs.getOrPut(topic) { ArrayList() }
            if (at != null && at != log.size.toLong()) {
                412 to log.size
            } else {
                log.add(record)
                200 to log.size - 1
            }
        }
        respond(
            call,
            status,
            """{"offset":$offset,"end":${offset + if (status == 200) 1 else 0}}""".encodeToByteArray(),
        )
    }

    private suspend fun read(call: FakeServerCall, topic: String, from: Int, waitMs: Long) {
        val waitEndNanos = System.nanoTime() + waitMs * NANOS_PER_MILLI
        while (System.nanoTime() < waitEndNanos && synchronized(logs) { (logs[topic]?.size ?: 0) <= from }) delay(5)
        if (from > endOf(topic)) return respond(call, 410, """{"first":0}""".encodeToByteArray())
        val records = synchronized(logs) { logs[topic].orEmpty().drop(from) }
        val body = ByteBuffer.allocate(16 + records.sumOf { 4 + it.size })
        body.putLong(from + records.size.toLong()).putLong(0)
        records.forEach { body.putInt(it.size).put(it) }
        respond(call, 200, body.array())
    }

    private suspend fun newest(call: FakeServerCall, topic: String) {
        val records = synchronized(logs) { logs[topic].orEmpty().toList() }
        val items = records.mapNotNull(::readKeyedRecord).associate { it.key to it.value }.filterValues { it != null }
            .map { (key, value) ->
                val encoded = Base64.getEncoder().encodeToString(value!!.encodeToByteArray())
                """{"key":${JsonPrimitive(key)},"value":"$encoded","offset":0}"""
            }
        respond(
            call,
            200,
            """{"items":[${items.joinToString(",")}],"more":false,"end":${records.size}}""".encodeToByteArray(),
        )
    }

    private suspend fun respond(call: FakeServerCall, status: Int, body: ByteArray) =
        call.respond(status, body, listOf(Header("Store-Era", synchronized(logs) { era }.toString())))

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
