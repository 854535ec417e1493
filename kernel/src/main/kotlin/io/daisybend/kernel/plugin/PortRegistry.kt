/*
 * Plug-in mechanism. A plug-in implements Plugin, is declared for Java's ServiceLoader and registers factories for the
 * ports that it implements. Settings select an implementation by name, so a platform, endpoint or caller protocol can
 * be added without changes to other code.
 */
package io.daisybend.kernel.plugin

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.kernel.Failure
import java.util.ServiceLoader
import kotlin.reflect.KClass

/** Provides implementations of ports. */
public interface Plugin {
    /** Registers this plug-in's factories with [registry]. */
    public fun register(registry: PortRegistry)
}

/** No plug-in provides the implementation [name] of [port]; [known] lists the registered names. */
public data class UnknownImplementation(val port: String, val name: String, val known: List<String>) : Failure {
    override val message: String = "expected an implementation of $port among $known, got `$name`"
}

/** Holds the factories of all loaded plug-ins; a factory is called with the context passed to [create]. */
public class PortRegistry {
    private data class Registration(val port: KClass<*>, val name: String, val factory: (Any) -> Any)

    private val registrations = ArrayList<Registration>()

    /** Registers [factory] as the implementation [name] of [port]. */
    public fun <C : Any, T : Any> register(port: KClass<T>, name: String, context: KClass<C>, factory: (C) -> T) {
        registrations += Registration(port, name) { argument ->
            require(context.isInstance(argument)) { "expected a context of type ${context.simpleName}, got $argument" }
            @Suppress("UNCHECKED_CAST")
            factory(argument as C)
        }
    }

    /** Creates the implementation [name] of [port] with [context]; fails if no plug-in provides it. */
    public fun <T : Any> create(port: KClass<T>, name: String, context: Any): Result<T, UnknownImplementation> {
        val matching = registrations.filter { it.port == port }
        val registration = matching.firstOrNull { it.name == name }
            ?: return Err(UnknownImplementation(port.simpleName.orEmpty(), name, matching.map { it.name }))
        @Suppress("UNCHECKED_CAST")
        return Ok(registration.factory(context) as T)
    }

    public companion object {
        /** Returns a registry with all plug-ins that ServiceLoader finds on the class path. */
        public fun load(): PortRegistry {
            val registry = PortRegistry()
            ServiceLoader.load(Plugin::class.java).forEach { it.register(registry) }
            return registry
        }
    }
}
