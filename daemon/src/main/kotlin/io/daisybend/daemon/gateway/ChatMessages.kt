/*
 * Request and response bodies of the caller interface: completions, chat completions, models, addresses and errors.
 * They follow the format of the OpenAI API, so that existing clients work.
 */
package io.daisybend.daemon.gateway

import io.daisybend.daemon.request.RequestFailure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

internal val gatewayJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

@Serializable
internal data class ChatMessage(val role: String, val content: JsonElement = JsonNull)

@Serializable
internal data class CompletionBody(
    val model: String,
    val messages: List<ChatMessage> = emptyList(),
    val prompt: JsonElement = JsonNull,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
    val priority: String? = null,
)

@Serializable
internal data class AnswerMessage(val role: String, val content: String)

@Serializable
internal data class Choice(
    val index: Int = 0,
    val message: AnswerMessage? = null,
    val delta: AnswerMessage? = null,
    val text: String? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Long,
    @SerialName("completion_tokens") val completionTokens: Long,
    @SerialName("total_tokens") val totalTokens: Long,
)

@Serializable
internal data class CompletionAnswer(
    val id: String,
    @SerialName("object") val objectType: String,
    val created: Long,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage? = null,
    val execution: String? = null,
)

@Serializable
internal data class ModelEntry(
    val id: String,
    @SerialName("object") val objectType: String = "model",
    @SerialName("owned_by") val ownedBy: String = "daisybend",
)

@Serializable
internal data class ModelList(@SerialName("object") val objectType: String = "list", val data: List<ModelEntry>)

@Serializable
internal data class AddressBody(val addresses: List<String>, val lifetimeMs: Long)

@Serializable
internal data class ErrorDetail(
    val message: String,
    val type: String,
    val code: String,
    val execution: String,
    val requestId: String,
)

@Serializable
internal data class ErrorBody(val error: ErrorDetail)

internal fun RequestFailure.toBody(requestId: String) = ErrorBody(
    ErrorDetail(
        message = message,
        type = type,
        code = javaClass.simpleName.toSnakeCase(),
        execution = execution.wireValue,
        requestId = requestId,
    ),
)

private fun String.toSnakeCase() = replace(Regex("([a-z])([A-Z])"), "$1_$2").lowercase()

/** Returns the text of a prompt or message content, which clients send as a string or as an array of parts. */
internal fun JsonElement.plainText(): String? = when (this) {
    is JsonNull -> null
    is JsonPrimitive -> contentOrNull
    is JsonArray -> joinToString("") { it.plainText().orEmpty() }
    is JsonObject -> get("text")?.plainText()
}

internal fun CompletionBody.promptText(): String? =
    if (messages.isEmpty()) {
        prompt.plainText()
    } else {
        messages.joinToString("\n") { "${it.role}: ${it.content.plainText().orEmpty()}" }
    }
