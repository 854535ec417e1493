package io.daisybend.entry

import io.daisybend.entry.standin.Cut
import io.daisybend.entry.standin.EndpointLink
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlin.time.Duration.Companion.seconds

private const val VMS = 3
private const val HANDOVER_GAP_MS = 3_000L

/** Time in which a link that has healed delivers what it held back, in milliseconds. */
private const val HELD_BACK_MS = 300L
private const val NANOS_PER_MILLI = 1_000_000L

private data class Order(val atMs: Long, val engine: String, val holder: String, val fence: Long)

/** Returns the orders that reached the engines, which refuse them all, so that the holder sends them again. */
private fun Site.orders(): List<Order> = endpoints.flatMap { endpoint ->
    endpoint.orders.map { (atMs, body) ->
        val order = Json.parseToJsonElement(body).jsonObject
        val holder = order.getValue("holder").jsonPrimitive.content
        Order(atMs, endpoint.id, holder, order.getValue("fenceToken").jsonPrimitive.long)
    }
}.sortedBy { it.atMs }

private fun breachesOfOne(orders: List<Order>) = orders.groupBy { it.engine }.values.flatMap { it.zipWithNext() }
    .filter { (before, after) ->
        after.fence < before.fence || (before.holder != after.holder && after.atMs - before.atMs < HANDOVER_GAP_MS)
    }

class CutOffHolderVmTest : FunSpec({
    listOf(Cut.RESET, Cut.HANGING).forEach { cut ->
        test("another VM sends the orders while the holder is cut off from all engines: $cut") {
            val links = HashMap<String, EndpointLink>()
            try {
                val prepare: Site.() -> Unit = {
                    endpoints.forEach { it.takesOrders = true }
                    dialer = { EndpointLink(endpoints).also { links["vm-1"] = it } }
                }
                withSite(prepare = prepare) {
                    configure(service = Site.MODEL_SERVICE)
                    (2..VMS).forEach { number ->
                        val link = EndpointLink(endpoints).also { links["vm-$number"] = it }
                        startPeer("vm-$number", dialer = link)
                    }
                    eventually(20.seconds) { orders().isEmpty() shouldBe false }
                    val holder = orders().last().holder
                    links.getValue(holder).setCut(cut)
                    eventually(9.seconds) { orders().any { it.holder != holder } shouldBe true }
                    val successor = orders().last().holder
                    links.getValue(holder).setCut(null)
                    val healedAtMs = System.nanoTime() / NANOS_PER_MILLI
                    delay(HANDOVER_GAP_MS)
                    // What the link held back arrives as it heals, which no sender can prevent.
                    val counted = orders()
                        .filter { it.holder != holder || it.atMs !in healedAtMs..healedAtMs + HELD_BACK_MS }
                    counted.last().holder shouldBe successor
                    breachesOfOne(counted).shouldBeEmpty()
                }
            } finally {
                links.values.forEach { it.close() }
            }
        }
    }
})
