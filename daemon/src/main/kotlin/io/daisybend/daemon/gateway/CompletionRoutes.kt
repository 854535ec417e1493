/*
 * Serves chat completions and completions over HTTP, as one JSON response or as server-sent events. A stream that fails
 * after its first byte ends with an error event and without `[DONE]`, so that callers detect a truncated response.
 */
package io.daisybend.daemon.gateway

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.daisybend.daemon.request.Completion
import io.daisybend.daemon.request.CompletionCall
import io.daisybend.daemon.request.ExecutionStatus
import io.daisybend.daemon.request.OutputToken
import io.daisybend.daemon.request.Priority
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.daemon.request.RequestService
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.RequestId
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException

/** The two completion APIs and the object types of their responses. */
internal enum class CompletionApi(val idPrefix: String, val responseObjectType: String, val chunkObjectType: String) {
    CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk"),
    TEXT("cmpl-", "text_completion", "text_completion"),
}

internal class CompletionRoutes(
    private val service: RequestService,
    private val clock: MillisClock,
    private val limits: GatewayLimits,
) {
    suspend fun serve(call: ApplicationCall, api: CompletionApi) {
        val requestId = call.newRequestId()
        val bytes = call.readBounded(limits.maxBodyBytes)
            ?: return call.refuse(requestId, RequestFailure.TooLarge(limits.maxBodyBytes))
        val body = try {
            gatewayJson.decodeFromString(CompletionBody.serializer(), bytes.decodeToString())
        } catch (invalid: SerializationException) {
            return call.refuse(requestId, RequestFailure.Invalid("expected a completion body: ${invalid.firstLine()}"))
        }
        val key = call.bearerKey()
            ?: return call.refuse(requestId, RequestFailure.Unauthenticated("expected a bearer key, got none"))
        val prompt = body.promptText()
            ?: return call.refuse(requestId, RequestFailure.Invalid("expected messages or a prompt, got neither"))
        val builder = CompletionResponseBuilder(api, requestId, body.model, clock.nowMs() / MILLIS_PER_SECOND)
        val request = completionCall(call, body, requestId, key, prompt)
        if (body.stream) serveStream(call, request, builder) else serveWholeResponse(call, request, builder)
    }

    private fun completionCall(
        call: ApplicationCall,
        body: CompletionBody,
        requestId: RequestId,
        key: String,
        prompt: String,
    ) = CompletionCall(
        requestId = requestId,
        key = key,
        modelOrAdapterName = body.model,
        prompt = prompt,
        maxOutputTokens = body.maxCompletionTokens ?: body.maxTokens,
        priority = if (body.priority == BATCH_PRIORITY) Priority.BATCH else Priority.INTERACTIVE,
        timeoutMs = call.requestedTimeoutMs(limits),
    )

    private suspend fun serveWholeResponse(
        call: ApplicationCall,
        request: CompletionCall,
        builder: CompletionResponseBuilder,
    ) {
        val text = StringBuilder()
        service.complete(request) { text.append(it.text) }.fold(
            success = {
                call.respondCompletion(request.requestId, builder.wholeResponse(text.toString(), it, request))
            },
            failure = { call.refuse(request.requestId, it) },
        )
    }

    /** Delays the status line until the first token or the end, so that an early failure has its own HTTP status. */
    private suspend fun serveStream(
        call: ApplicationCall,
        request: CompletionCall,
        builder: CompletionResponseBuilder,
    ) {
        coroutineScope {
            val tokens = Channel<OutputToken>(limits.maxBufferedTokens)
            val startOrFailure = CompletableDeferred<RequestFailure?>()
            val result = CompletableDeferred<Result<Completion, RequestFailure>>()
            val generation = launch {
                val outcome = service.complete(request) { token ->
                    startOrFailure.complete(null)
                    tokens.send(token)
                }
                startOrFailure.complete(outcome.failureOrNull())
                result.complete(outcome)
                tokens.close()
            }
            val earlyFailure = startOrFailure.await()
            if (earlyFailure != null) {
                call.refuse(request.requestId, earlyFailure)
            } else {
                try {
                    call.response.header(REQUEST_ID_HEADER, request.requestId.value)
                    call.respondBytesWriter(ContentType.Text.EventStream) {
                        for (token in tokens) writeEvent(builder.chunk(token.text, null))
                        writeEnd(builder, request, result.await())
                    }
                } finally {
                    generation.cancel()
                }
            }
        }
    }

    private suspend fun ByteWriteChannel.writeEnd(
        builder: CompletionResponseBuilder,
        request: CompletionCall,
        result: Result<Completion, RequestFailure>,
    ) {
        result
            .onSuccess {
                writeEvent(builder.chunk("", it.finishReason))
                writeStringUtf8("data: [DONE]\n\n")
            }
            .onFailure { failure ->
                val error = failure.toBody(request.requestId.value)
                writeStringUtf8("data: ${gatewayJson.encodeToString(ErrorBody.serializer(), error)}\n\n")
            }
        flush()
    }

    private suspend fun ByteWriteChannel.writeEvent(response: CompletionAnswer) {
        writeStringUtf8("data: ${gatewayJson.encodeToString(CompletionAnswer.serializer(), response)}\n\n")
        flush()
    }

    private companion object {
        const val BATCH_PRIORITY = "batch"
        const val MILLIS_PER_SECOND = 1_000L
    }
}

private fun Result<Completion, RequestFailure>.failureOrNull(): RequestFailure? = fold({ null }, { it })

internal fun Exception.firstLine(): String = message.orEmpty().lineSequence().first()

/** Builds the response bodies of one completion request. */
internal class CompletionResponseBuilder(
    private val api: CompletionApi,
    private val requestId: RequestId,
    private val model: String,
    private val createdSeconds: Long,
) {
    fun wholeResponse(text: String, completion: Completion, request: CompletionCall): CompletionAnswer {
        val choice = when (api) {
            CompletionApi.CHAT -> Choice(message = AnswerMessage(ROLE, text), finishReason = completion.finishReason)
            CompletionApi.TEXT -> Choice(text = text, finishReason = completion.finishReason)
        }
        val promptTokens = 1L + request.prompt.length / CHARS_PER_TOKEN
        val usage = Usage(promptTokens, completion.outputTokens.toLong(), promptTokens + completion.outputTokens)
        return response(api.responseObjectType, choice)
            .copy(usage = usage, execution = ExecutionStatus.COMPLETED.wireValue)
    }

    fun chunk(text: String, finishReason: String?): CompletionAnswer {
        val choice = when (api) {
            CompletionApi.CHAT -> Choice(delta = AnswerMessage(ROLE, text), finishReason = finishReason)
            CompletionApi.TEXT -> Choice(text = text, finishReason = finishReason)
        }
        return response(api.chunkObjectType, choice)
    }

    private fun response(type: String, choice: Choice) = CompletionAnswer(
        id = api.idPrefix + requestId.value,
        objectType = type,
        created = createdSeconds,
        model = model,
        choices = listOf(choice),
    )

    private companion object {
        const val ROLE = "assistant"
        const val CHARS_PER_TOKEN = 4
    }
}

internal suspend fun ApplicationCall.respondCompletion(requestId: RequestId, completion: CompletionAnswer) {
    response.header(REQUEST_ID_HEADER, requestId.value)
    response.header(EXECUTION_HEADER, ExecutionStatus.COMPLETED.wireValue)
    respondJson(HttpStatusCode.OK, CompletionAnswer.serializer(), completion)
}
