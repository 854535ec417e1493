/*
 * Chat completions and completions over HTTP, whole or as server-sent events. A stream that fails after its first byte
 * ends with an error event and without the closing `[DONE]`, so a caller never takes a part for the whole.
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

/** Which of the two completion interfaces a request uses. */
internal enum class CompletionStyle(val idPrefix: String, val wholeType: String, val chunkType: String) {
    CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk"),
    TEXT("cmpl-", "text_completion", "text_completion"),
}

internal class CompletionRoutes(
    private val service: RequestService,
    private val clock: MillisClock,
    private val limits: GatewayLimits,
) {
    suspend fun serve(call: ApplicationCall, style: CompletionStyle) {
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
        val answer = AnswerFormat(style, requestId, body.model, clock.nowMs() / MILLIS_PER_SECOND)
        val request = completionCall(call, body, requestId, key, prompt)
        if (body.stream) serveStream(call, request, answer) else serveWhole(call, request, answer)
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
        itemName = body.model,
        prompt = prompt,
        maxOutputTokens = body.maxCompletionTokens ?: body.maxTokens,
        priority = if (body.priority == BATCH_PRIORITY) Priority.BATCH else Priority.INTERACTIVE,
        timeoutMs = call.requestedTimeoutMs(limits),
    )

    private suspend fun serveWhole(call: ApplicationCall, request: CompletionCall, answer: AnswerFormat) {
        val text = StringBuilder()
        service.complete(request) { text.append(it.text) }.fold(
            success = { call.answerJson(request.requestId, answer.whole(text.toString(), it, request)) },
            failure = { call.refuse(request.requestId, it) },
        )
    }

    /** Waits for the first token or the end before the status line is sent, so an early failure keeps its status. */
    private suspend fun serveStream(call: ApplicationCall, request: CompletionCall, answer: AnswerFormat) {
        coroutineScope {
            val tokens = Channel<OutputToken>(limits.maxBufferedTokens)
            val started = CompletableDeferred<RequestFailure?>()
            val result = CompletableDeferred<Result<Completion, RequestFailure>>()
            val running = launch {
                val end = service.complete(request) { token ->
                    started.complete(null)
                    tokens.send(token)
                }
                started.complete(end.failureOrNull())
                result.complete(end)
                tokens.close()
            }
            val earlyFailure = started.await()
            if (earlyFailure != null) {
                call.refuse(request.requestId, earlyFailure)
            } else {
                try {
                    call.response.header(REQUEST_ID_HEADER, request.requestId.value)
                    call.respondBytesWriter(ContentType.Text.EventStream) {
                        for (token in tokens) event(answer.chunk(token.text, null))
                        end(answer, request, result.await())
                    }
                } finally {
                    running.cancel()
                }
            }
        }
    }

    private suspend fun ByteWriteChannel.end(
        answer: AnswerFormat,
        request: CompletionCall,
        result: Result<Completion, RequestFailure>,
    ) {
        result
            .onSuccess {
                event(answer.chunk("", it.finishReason))
                writeStringUtf8("data: [DONE]\n\n")
            }
            .onFailure { failure ->
                val error = failure.toBody(request.requestId.value)
                writeStringUtf8("data: ${gatewayJson.encodeToString(ErrorBody.serializer(), error)}\n\n")
            }
        flush()
    }

    private suspend fun ByteWriteChannel.event(answer: CompletionAnswer) {
        writeStringUtf8("data: ${gatewayJson.encodeToString(CompletionAnswer.serializer(), answer)}\n\n")
        flush()
    }

    private companion object {
        const val BATCH_PRIORITY = "batch"
        const val MILLIS_PER_SECOND = 1_000L
    }
}

private fun Result<Completion, RequestFailure>.failureOrNull(): RequestFailure? = fold({ null }, { it })

internal fun Exception.firstLine(): String = message.orEmpty().lineSequence().first()

/** Builds the bodies of one request's answer. */
internal class AnswerFormat(
    private val style: CompletionStyle,
    private val requestId: RequestId,
    private val model: String,
    private val createdSeconds: Long,
) {
    fun whole(text: String, end: Completion, request: CompletionCall): CompletionAnswer {
        val choice = when (style) {
            CompletionStyle.CHAT -> Choice(message = AnswerMessage(ROLE, text), finishReason = end.finishReason)
            CompletionStyle.TEXT -> Choice(text = text, finishReason = end.finishReason)
        }
        val promptTokens = 1L + request.prompt.length / CHARS_PER_TOKEN
        val usage = Usage(promptTokens, end.outputTokens.toLong(), promptTokens + end.outputTokens)
        return answer(style.wholeType, choice).copy(usage = usage, execution = ExecutionStatus.COMPLETED.wireValue)
    }

    fun chunk(text: String, finishReason: String?): CompletionAnswer {
        val choice = when (style) {
            CompletionStyle.CHAT -> Choice(delta = AnswerMessage(ROLE, text), finishReason = finishReason)
            CompletionStyle.TEXT -> Choice(text = text, finishReason = finishReason)
        }
        return answer(style.chunkType, choice)
    }

    private fun answer(type: String, choice: Choice) = CompletionAnswer(
        id = style.idPrefix + requestId.value,
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

internal suspend fun ApplicationCall.answerJson(requestId: RequestId, answer: CompletionAnswer) {
    response.header(REQUEST_ID_HEADER, requestId.value)
    response.header(EXECUTION_HEADER, ExecutionStatus.COMPLETED.wireValue)
    respondJson(HttpStatusCode.OK, CompletionAnswer.serializer(), answer)
}
