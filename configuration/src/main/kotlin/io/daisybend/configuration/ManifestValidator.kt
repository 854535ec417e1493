/*
 * Validates a well-formed manifest completely: identifiers, references, ranges and patterns. The validation runs before
 * a manifest is submitted and again when its record is replayed, so the configuration on every VM is always valid.
 */
package io.daisybend.configuration

private const val MAX_WEIGHTS_BYTES = 16_000_000_000_000L
private const val MAX_OUTPUT_TOKENS = 10_000_000L
private const val MAX_RATE_TOKENS_PER_SECOND = 1_000_000_000L
private const val MAX_BURST_TOKENS = 100_000_000_000L
private const val MAX_SHARE_WEIGHT = 10_000L
private const val MAX_CONCURRENT_REQUESTS = 100_000L
private const val MAX_PORT = 65_535
private const val MAX_SHOWN_CHARS = 80

private val identifierPattern = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
private val keyIdPattern = Regex("[A-Za-z0-9-]{1,64}")
private val versionPattern = Regex("[\\x21-\\x7e]{1,128}")
private val saltPattern = Regex("[0-9a-f]{16,128}")
private val hashPattern = Regex("[0-9a-f]{64}")

/** Returns all problems of [manifest], including keys in [withdrawnKeyIds]; empty if the manifest is valid. */
public fun validateManifest(manifest: Manifest, withdrawnKeyIds: Set<KeyId> = emptySet()): List<ManifestProblem> =
    ManifestValidator(manifest, withdrawnKeyIds).validate()

private class ManifestValidator(private val manifest: Manifest, private val withdrawnKeyIds: Set<KeyId>) {
    private val problems = mutableListOf<ManifestProblem>()
    private val modelIds = manifest.models.mapTo(HashSet()) { it.modelId }
    private val adapterIds = manifest.adapters.mapTo(HashSet()) { it.adapterId }
    private val teamIds = manifest.teams.mapTo(HashSet()) { it.teamId }
    private val endpoints = manifest.endpoints.associateBy { it.endpointId }

    fun validate(): List<ManifestProblem> {
        checkFormat()
        checkModels()
        checkAdapters()
        checkTeams()
        checkKeys()
        checkEndpoints()
        checkRoutes()
        return problems
    }

    private fun checkFormat() {
        val format = Manifest.FORMAT_VERSION.toLong()
        checkRange("formatVersion", manifest.formatVersion.toLong(), format, format)
    }

    private fun checkModels() {
        checkUnique("models", "modelId", manifest.models.map { it.modelId.value })
        manifest.models.forEachIndexed { index, model ->
            val path = "models[$index]"
            checkPattern("$path.modelId", model.modelId.value, identifierPattern, "an identifier")
            checkPattern("$path.version", model.version, versionPattern, "a version of 1 to 128 printable characters")
            checkRange("$path.weightsBytes", model.weightsBytes, 1, MAX_WEIGHTS_BYTES)
            checkRange("$path.maxOutputTokens", model.maxOutputTokens.toLong(), 1, MAX_OUTPUT_TOKENS)
        }
    }

    private fun checkAdapters() {
        checkUnique("adapters", "adapterId", manifest.adapters.map { it.adapterId.value })
        manifest.adapters.forEachIndexed { index, adapter ->
            val path = "adapters[$index]"
            checkPattern("$path.adapterId", adapter.adapterId.value, identifierPattern, "an identifier")
            checkPattern("$path.version", adapter.version, versionPattern, "a version of 1 to 128 printable characters")
            checkRange("$path.weightsBytes", adapter.weightsBytes, 1, MAX_WEIGHTS_BYTES)
            checkReference("$path.modelId", adapter.modelId in modelIds, "model", adapter.modelId.value)
        }
    }

    private fun checkTeams() {
        checkUnique("teams", "teamId", manifest.teams.map { it.teamId.value })
        manifest.teams.forEachIndexed { index, team ->
            val path = "teams[$index]"
            checkPattern("$path.teamId", team.teamId.value, identifierPattern, "an identifier")
            problems += rateProblems(path, team.rateTokensPerSecond, team.burstTokens)
            checkRange("$path.shareWeight", team.shareWeight.toLong(), 1, MAX_SHARE_WEIGHT)
            team.modelIds.forEachIndexed { position, id ->
                checkReference("$path.modelIds[$position]", id in modelIds, "model", id.value)
            }
            team.adapterIds.forEachIndexed { position, id ->
                checkReference("$path.adapterIds[$position]", id in adapterIds, "adapter", id.value)
            }
        }
    }

    private fun checkKeys() {
        checkUnique("keys", "keyId", manifest.keys.map { it.keyId.value })
        manifest.keys.forEachIndexed { index, key ->
            val path = "keys[$index]"
            problems += keyProblems(path, key)
            checkReference("$path.teamId", key.teamId in teamIds, "team", key.teamId.value)
            if (key.keyId in withdrawnKeyIds) problems += ManifestProblem.WithdrawnKey("$path.keyId", key.keyId)
        }
    }

    private fun checkEndpoints() {
        checkUnique("endpoints", "endpointId", manifest.endpoints.map { it.endpointId.value })
        manifest.endpoints.forEachIndexed { index, endpoint -> checkEndpoint("endpoints[$index]", endpoint) }
    }

    private fun checkEndpoint(path: String, endpoint: EndpointSpec) {
        checkPattern("$path.endpointId", endpoint.endpointId.value, identifierPattern, "an identifier")
        checkPattern("$path.failureDomainId", endpoint.failureDomainId.value, identifierPattern, "an identifier")
        checkAddress("$path.address", endpoint.address)
        val minimumMemoryBytes = if (endpoint.kind == EndpointKind.ENGINE) 1L else 0L
        checkRange("$path.memoryBytes", endpoint.memoryBytes, minimumMemoryBytes, MAX_WEIGHTS_BYTES)
        checkRange("$path.kvCacheBytes", endpoint.kvCacheBytes, 0, endpoint.memoryBytes.coerceAtLeast(0))
        checkRange("$path.maxConcurrentRequests", endpoint.maxConcurrentRequests.toLong(), 1, MAX_CONCURRENT_REQUESTS)
    }

    private fun checkRoutes() {
        checkUnique("routes", "name", manifest.routes.map { it.name })
        manifest.routes.forEachIndexed { index, route ->
            val path = "routes[$index]"
            checkPattern("$path.name", route.name, identifierPattern, "an identifier")
            if (route.endpointIds.isEmpty()) {
                problems += ManifestProblem.MalformedValue("$path.endpointIds", "at least one endpoint", "[]")
            }
            route.endpointIds.forEachIndexed { position, id ->
                val isService = endpoints[id]?.kind == EndpointKind.SERVICE
                checkReference("$path.endpointIds[$position]", isService, "service endpoint", id.value)
            }
            route.teamIds.forEachIndexed { position, id ->
                checkReference("$path.teamIds[$position]", id in teamIds, "team", id.value)
            }
        }
    }

    private fun checkUnique(list: String, field: String, ids: List<String>) {
        val seen = HashSet<String>()
        ids.forEachIndexed { index, id ->
            if (!seen.add(id)) problems += ManifestProblem.DuplicateId("$list[$index].$field", shorten(id))
        }
    }

    private fun checkReference(path: String, exists: Boolean, kind: String, id: String) {
        if (!exists) problems += ManifestProblem.UnknownReference(path, kind, shorten(id))
    }

    private fun checkPattern(path: String, value: String, pattern: Regex, expected: String) {
        problems += patternProblems(path, value, pattern, expected)
    }

    private fun checkRange(path: String, value: Long, minimum: Long, maximum: Long) {
        problems += rangeProblems(path, value, minimum, maximum)
    }

    private fun checkAddress(path: String, address: String) {
        val host = address.substringBeforeLast(':', missingDelimiterValue = "")
        val port = address.substringAfterLast(':').toIntOrNull() ?: 0
        val isWellFormed = host.isNotBlank() && host.none { it.isWhitespace() || it == '/' } && port in 1..MAX_PORT
        if (!isWellFormed) problems += ManifestProblem.MalformedValue(path, "host:port", shorten(address))
    }
}

/** Returns the problems of [key] except those of its team. */
internal fun keyProblems(path: String, key: KeySpec): List<ManifestProblem> =
    patternProblems("$path.keyId", key.keyId.value, keyIdPattern, "1 to 64 letters, digits or hyphens") +
        patternProblems("$path.saltHex", key.saltHex, saltPattern, "16 to 128 lower-case hexadecimal digits") +
        patternProblems("$path.hashHex", key.hashHex, hashPattern, "64 lower-case hexadecimal digits")

/** Returns the problems of the rate and burst of a team. */
internal fun rateProblems(path: String, rateTokensPerSecond: Long, burstTokens: Long): List<ManifestProblem> =
    rangeProblems("$path.rateTokensPerSecond", rateTokensPerSecond, 1, MAX_RATE_TOKENS_PER_SECOND) +
        rangeProblems("$path.burstTokens", burstTokens, 1, MAX_BURST_TOKENS)

private fun patternProblems(path: String, value: String, pattern: Regex, expected: String): List<ManifestProblem> =
    if (pattern.matches(value)) emptyList() else listOf(ManifestProblem.MalformedValue(path, expected, shorten(value)))

private fun rangeProblems(path: String, value: Long, minimum: Long, maximum: Long): List<ManifestProblem> =
    if (value in minimum..maximum) emptyList() else listOf(ManifestProblem.OutOfRange(path, value, minimum, maximum))

private fun shorten(value: String): String =
    if (value.length <= MAX_SHOWN_CHARS) value else value.take(MAX_SHOWN_CHARS) + "..."
