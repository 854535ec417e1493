package io.daisybend.placement

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse

internal fun <V> Result<V, *>.value(): V = getOrElse { error("expected a value, got $it") }
