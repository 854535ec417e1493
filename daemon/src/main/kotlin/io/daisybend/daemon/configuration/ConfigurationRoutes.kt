/*
 * Operator routes for the configuration, below `/admin`. A response to a change states its result: accepted by most
 * VMs, recorded but not yet replayed by most VMs, refused, not recorded because the log is unavailable, or unknown, in
 * which case the operator submits the change again under the same id.
 */
package io.daisybend.daemon.configuration

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.runCatching
import io.daisybend.configuration.ChangeId
import io.daisybend.configuration.ChangeRefusal
import io.daisybend.configuration.ConfigurationChange
import io.daisybend.configuration.ConfigurationRecord
import io.daisybend.configuration.ConfigurationState
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.ManifestFailure
import io.daisybend.configuration.SubmissionFailure
import io.daisybend.configuration.SubmissionResult
import io.daisybend.configuration.diffManifests
import io.daisybend.configuration.readManifest
import io.daisybend.configuration.toTables
import io.daisybend.daemon.admin.AdminRefusal
import io.daisybend.daemon.admin.OperatorRoutes
import io.daisybend.daemon.admin.adminJson
import io.daisybend.daemon.admin.respondAdmin
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import java.util.UUID

@Serializable
internal data class ChangeAnswer(val changeId: String, val status: String, val revision: Long)

@Serializable
internal data class ShownManifest(val revision: Long, val manifestRevision: Long, val manifest: Manifest)

@Serializable
internal data class ShownKey(val keyId: String, val teamId: String, val issuedByOperator: Boolean)

@Serializable
internal data class ShownKeys(val keys: List<ShownKey>, val withdrawnKeyIds: List<String>)

@Serializable
internal data class ShownEndpoint(val endpointId: String, val draining: Boolean, val drainRevision: Long)

private val endpointList = ListSerializer(ShownEndpoint.serializer())

internal class ConfigurationRoutes(
    private val configuration: FollowedConfiguration,
    private val submission: ChangeSubmission,
) : OperatorRoutes {
    override fun addTo(route: Route) {
        route.get("/manifest") { call.respondAdmin(ShownManifest.serializer(), shownManifest()) }
        route.post("/manifest") { applyManifest(call) }
        route.get("/keys") { call.respondAdmin(ShownKeys.serializer(), shownKeys()) }
        route.get("/endpoints") { call.respondAdmin(endpointList, shownEndpoints()) }
        route.post("/changes") { submitChange(call) }
    }

    private fun state() = configuration.state ?: ConfigurationState.INITIAL

    private fun shownManifest() = state().let { ShownManifest(it.revision, it.manifestRevision, it.manifest()) }

    private fun shownKeys(): ShownKeys {
        val state = state()
        val keys = state.tables.keys.values.map {
            ShownKey(
                it.keyId.value,
                it.teamId.value,
                it.keyId in state.issuedKeyIds,
            )
        }
        return ShownKeys(keys, state.withdrawnKeyIds.map { it.value })
    }

    private fun shownEndpoints(): List<ShownEndpoint> {
        val state = state()
        return state.tables.endpoints.keys.map {
            ShownEndpoint(it.value, state.isDraining(it), state.drainRevisionOf(it))
        }
    }

    private suspend fun applyManifest(call: ApplicationCall) {
        val state = configuration.awaitState() ?: return call.refuse(notReady, HttpStatusCode.ServiceUnavailable)
        val changeId = ChangeId(call.request.queryParameters["changeId"] ?: UUID.randomUUID().toString())
        val expected = call.request.queryParameters["expectedRevision"]?.toLongOrNull() ?: state.manifestRevision
        readManifest(call.receiveText(), state.withdrawnKeyIds).fold(
            success = { manifest ->
                val diff = diffManifests(state.tables, manifest.toTables(), state.issuedKeyIds)
                val change = ConfigurationChange.ApplyManifest(expected, diff)
                call.respondResult(changeId, submission.submit(changeId, change))
            },
            failure = {
                call.refuse(AdminRefusal("invalid_manifest", it.detail()), HttpStatusCode.UnprocessableEntity)
            },
        )
    }

    private suspend fun submitChange(call: ApplicationCall) {
        if (configuration.awaitState() == null) return call.refuse(notReady, HttpStatusCode.ServiceUnavailable)
        val text = call.receiveText()
        val record = runCatching { adminJson.decodeFromString(ConfigurationRecord.Change.serializer(), text) }
            .getOrElse { return call.refuse(malformedChange(it), HttpStatusCode.BadRequest) }
        call.respondResult(record.changeId, submission.submit(record.changeId, record.change))
    }

    private fun malformedChange(cause: Throwable) =
        AdminRefusal("malformed_change", "expected a change, ${cause.message.orEmpty().lineSequence().first()}")

    private companion object {
        val notReady = AdminRefusal("not_ready", "expected a VM that knows the configuration, it is still starting")
    }
}

private const val MAX_LISTED_PROBLEMS = 200

private fun ManifestFailure.detail(): String = when (this) {
    is ManifestFailure.Invalid -> {
        val listedProblems = problems.take(MAX_LISTED_PROBLEMS).joinToString("\n") { it.message }
        "${problems.size} problems\n$listedProblems"
    }
    else -> message
}

private suspend fun ApplicationCall.refuse(refusal: AdminRefusal, status: HttpStatusCode) =
    respondAdmin(AdminRefusal.serializer(), refusal, status)

private suspend fun ApplicationCall.respondResult(changeId: ChangeId, result: SubmissionResult) {
    when (result) {
        is SubmissionResult.Accepted -> respondChange(ChangeAnswer(changeId.value, "accepted", result.revision))
        is SubmissionResult.RecordedOnly ->
            respondChange(ChangeAnswer(changeId.value, "recorded", result.revision), HttpStatusCode.Accepted)
        is SubmissionResult.Refused ->
            refuse(AdminRefusal(result.refusal.type, result.refusal.message), HttpStatusCode.Conflict)
        is SubmissionResult.Failed -> respondFailure(result.failure)
    }
}

private suspend fun ApplicationCall.respondChange(body: ChangeAnswer, status: HttpStatusCode = HttpStatusCode.OK) =
    respondAdmin(ChangeAnswer.serializer(), body, status)

private suspend fun ApplicationCall.respondFailure(failure: SubmissionFailure) = when (failure) {
    is SubmissionFailure.LogUnavailable ->
        refuse(AdminRefusal("log_unavailable", failure.message), HttpStatusCode.ServiceUnavailable)
    is SubmissionFailure.OutcomeUnknown ->
        refuse(AdminRefusal("outcome_unknown", failure.message), HttpStatusCode.GatewayTimeout)
}

private val ChangeRefusal.type: String
    get() = when (this) {
        is ChangeRefusal.RevisionConflict -> "revision_conflict"
        is ChangeRefusal.KeyIdUsed -> if (withdrawn) "key_withdrawn" else "key_id_used"
        is ChangeRefusal.UnknownSubject -> "unknown_$kind"
        is ChangeRefusal.StagedContentUnusable -> "staged_content_unusable"
        is ChangeRefusal.InvalidResult -> "invalid_result"
    }
