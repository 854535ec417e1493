/*
 * Tests of the commands that need no daemon, and of the exit codes.
 */
package io.daisybend.cli

import com.github.michaelbull.result.getError
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.writeManifest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files

private class CliRun(val exitCode: Int, val out: String, val err: String)

private fun run(vararg args: String): CliRun {
    val out = ByteArrayOutputStream()
    val err = ByteArrayOutputStream()
    val exitCode = runCli(args.toList(), PrintStream(out), PrintStream(err))
    return CliRun(exitCode, out.toString(), err.toString())
}

private fun createFile(text: String): String {
    val file = Files.createTempFile("manifest", ".json")
    file.toFile().deleteOnExit()
    return Files.writeString(file, text).toString()
}

class CliMainTest : FunSpec({
    test("a valid manifest is reported as valid") {
        val run = run("manifest", "validate", createFile(writeManifest(Manifest())))
        run.exitCode shouldBe 0
        run.out shouldContain "valid: 0 models"
    }

    test("an invalid manifest reports all problems and exits with code 1") {
        val run =
            run("manifest", "validate", createFile("""{"models":[{"modelId":"","version":"1","weightsBytes":-4}]}"""))
        run.exitCode shouldBe 1
        run.err shouldContain "models[0].modelId"
        run.err shouldContain "models[0].weightsBytes: expected 1 to"
    }

    test("malformed JSON is reported with line and column") {
        run("manifest", "validate", createFile("{\n  oops")).err shouldContain "line 2, column"
    }

    test("every command accepts --help and exits with code 2 on an unknown option") {
        commands().forEach { command ->
            run(*command.name.split(' ').toTypedArray(), "--help").exitCode shouldBe 0
            run(*command.name.split(' ').toTypedArray(), "--nonsense").exitCode shouldBe 2
        }
    }

    test("an unreachable daemon exits with code 3") {
        val token = createFile("token")
        run("key", "list", "--operators", "127.0.0.1:1", "--token-file", token).exitCode shouldBe 3
    }

    test("a conflict, an unconfirmed change and an unknown outcome have distinct exit codes") {
        CliFailure.Refused(409, "revision_conflict", "").exitCode shouldBe 4
        CliFailure.Refused(504, "outcome_unknown", "").exitCode shouldBe 6
        CliFailure.Refused(409, "key_withdrawn", "").exitCode shouldBe 1
        val unconfirmed = toChangeOutput("""{"changeId":"a","status":"recorded","revision":3}""").getError()
        unconfirmed?.exitCode shouldBe 5
    }

    test("explain prints the lines that mention a request and the orders for its model in time order") {
        fun line(second: Int, vm: String, event: String, fields: String) =
            """12.5 $vm {"@timestamp":"2026-12-04T08:00:0${second}Z","message":"$event","vm":"$vm",$fields}"""
        val first = listOf(
            line(4, "vm-1", "request", """"request":"r1","model":"m1/a2","tookMs":900,"status":503"""),
            line(4, "vm-1", "request", """"request":"r2","model":"m2","tookMs":9,"status":200"""),
            "not a log line",
        )
        val second = listOf(
            line(3, "vm-2", "order-sent", """"engine":"e1","order":"LoadModel(model=m1, source=STORE)""""),
            line(3, "vm-2", "order-sent", """"engine":"e1","order":"LoadModel(model=m9, source=STORE)""""),
        )
        val run = run("explain", "r1", createFile(first.joinToString("\n")), createFile(second.joinToString("\n")))
        run.exitCode shouldBe 0
        val lines = run.out.trim().lines()
        lines.size shouldBe 2
        lines[0] shouldContain "model=m1"
        lines[1] shouldContain "r1"
    }

    test("explain shows the endpoints that paused or left on the VM of a refused request") {
        fun line(second: Int, vm: String, event: String, fields: String) =
            """12.5 $vm {"@timestamp":"2026-12-04T08:00:0${second}Z","message":"$event","vm":"$vm",$fields}"""
        val log = listOf(
            line(1, "vm-1", "endpoint-paused", """"endpoint":"e1","bornMs":1,"leftMs":5000"""),
            line(2, "vm-1", "endpoint-leaving", """"endpoint":"e2","bornMs":1,"source":"response""""),
            line(2, "vm-2", "endpoint-paused", """"endpoint":"e1","bornMs":1,"leftMs":9000"""),
            line(4, "vm-1", "request", """"request":"r1","tookMs":1,"status":503,"cause":"take no requests""""),
        )
        val lines = run("explain", "r1", createFile(log.joinToString("\n"))).out.trim().lines()
        lines.size shouldBe 3
        lines[0] shouldContain "endpoint-paused"
        lines[1] shouldContain "endpoint-leaving"
    }

    test("an id that no log mentions exits with code 2") {
        run("explain", "r1", createFile("{}")).exitCode shouldBe 2
    }
})
