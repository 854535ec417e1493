package io.daisybend.entry

import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private const val ADDRESS = "\"address\":\"127.0.0.1:9\""
private const val SOUND = """"service":"s1","zone":"north","slots":6,"state":"ready","born":5"""

/** Entries that another writer may have left among those of the endpoints. */
private val oddEntries = listOf(
    "[".repeat(100_000),
    "{\"a\":".repeat(20_000) + "1" + "}".repeat(20_000),
    """{$ADDRESS,$SOUND,"x":${"[".repeat(1_000)}${"]".repeat(1_000)}}""",
    """{$ADDRESS,${SOUND.replace("6", "1e999")}}""",
    """{$ADDRESS,${SOUND.replace("6", "99999999999999999999")}}""",
    """{$ADDRESS,${SOUND.replace("6", "-6")}}""",
    """{$ADDRESS,${SOUND.replace("5", "1e300")}}""",
    """{$ADDRESS,${SOUND.replace("5", "NaN")}}""",
    """{$ADDRESS,${SOUND.replace("5", "0.5")}}""",
    """{"address":"127.0.0.1:0",$SOUND}""",
    """{"address":"127.0.0.1:-1",$SOUND}""",
    """{"address":"127.0.0.1:65536",$SOUND}""",
    """{"address":"nowhere.example:80",$SOUND}""",
    """{"address":"127.0.0.999:80",$SOUND}""",
    """{"address":{"a":1},$SOUND}""",
    """{$ADDRESS,$SOUND,"models":[[1]]}""",
    """{$ADDRESS,$SOUND,"filler":"${"x".repeat(1_000_000)}"}""",
    """{$ADDRESS,${SOUND.replace("ready", "READY")}}""",
    "\u0000\u0001\uFFFF",
    "",
    "null",
    "{",
)

class OddEntryTest : FunSpec({
    test("odd entries in the list name no endpoint, harm no other, and the VM goes on following the list") {
        withSite {
            configure()
            oddEntries.forEachIndexed { index, entry -> store.put("keyed.servers", "odd-$index", entry) }
            store.put("keyed.servers", "e-1\r\nEvil: 1", """{$ADDRESS,$SOUND}""")
            store.put("keyed.servers", "e-1", "[".repeat(100_000))
            repeat(30) { connect().call("GET", "/safe/x").status shouldBe 200 }
            isReady() shouldBe true
            // The list is followed further: an endpoint that is gone gets nothing, and a new one is used.
            store.put("keyed.servers", "e-1", null)
            eventually(10.seconds) {
                endpoints[0].ran.clear()
                repeat(10) { connect().call("GET", "/safe/x").status shouldBe 200 }
                endpoints[0].ran.shouldBeEmpty()
            }
            endpoints[0].register()
            store.put("keyed.servers", "e-2", null)
            eventually(10.seconds) {
                runCatching { connect().call("GET", "/safe/x") }
                endpoints[0].ran.size shouldBeGreaterThan 0
            }
        }
    }

    test("a VM that starts among odd entries serves") {
        withSite(
            records = { oddEntries.forEachIndexed { index, entry -> put("keyed.servers", "odd-$index", entry) } },
        ) {
            configure()
            repeat(10) { connect().call("GET", "/safe/x").status shouldBe 200 }
        }
    }
})
