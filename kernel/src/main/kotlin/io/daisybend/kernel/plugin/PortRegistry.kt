/*
 * Plug-ins register themselves with the kernel: each implements Plugin, is listed for Java's ServiceLoader, and offers
 * factories for the ports that it implements. The settings choose an implementation by name, so another platform,
 * endpoint or caller protocol is added without touching the rest.
 */
package io.daisybend.kernel.plugin

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.kernel.Failure
import java.util.ServiceLoader
import kotlin.reflect.KClass

/** Offers implementations of ports. */
public interface Plugin {
    /** Adds this plug-in's factories to [registry]. */
    public fun register(registry: PortRegistry)
}

/** No plug-in offers the wanted implementation. */
public data class UnknownImplementation(val port: String, val name: String, val known: List<String>) : Failure {
    override val message: String = "expected an implementation of $port among $known, got `$name`"
}

/** Holds the factories of all loaded plug-ins; a factory receives the context that the port's owner passes. */
public class PortRegistry {
    private data class Registration(val port: KClass<*>, val name: String, val factory: (Any) -> Any)

    private val registrations = ArrayList<Registration>()

    /** Offers [factory] as the implementation [name] of [port]. */
    public fun <C : Any, T : Any> register(port: KClass<T>, name: String, context: KClass<C>, factory: (C) -> T) {
        registrations += Registration(port, name) { given ->
            require(context.isInstance(given)) { "expected a context of type ${context.simpleName}, got $given" }
            @Suppress("UNCHECKED_CAST")
            factory(given as C)
        }
    }

    /** Creates the implementation [name] of [port] with [context]; fails when no plug-in offers it. */
    public fun <T : Any> create(port: KClass<T>, name: String, context: Any): Result<T, UnknownImplementation> {
        val matching = registrations.filter { it.port == port }
        val registration = matching.firstOrNull { it.name == name }
            ?: return Err(UnknownImplementation(port.simpleName.orEmpty(), name, matching.map { it.name }))
        @Suppress("UNCHECKED_CAST")
        return Ok(registration.factory(context) as T)
    }

    public companion object {
        /** Returns a registry with every plug-in that ServiceLoader finds on the class path. */
        public fun load(): PortRegistry {
            val registry = PortRegistry()
            ServiceLoader.load(Plugin::class.java).forEach { it.register(registry) }
            return registry
        }
    }
}
