/*
 * Figures that the residency planner weighs by.
 */
package io.daisybend.serving.residency

/** Weights of the planner's decisions. */
public data class PlannerSettings(
    /** Delay of a model's best engine above which another replica is loaded, in milliseconds of prefill. */
    val replicaDelayMs: Double = 350.0,
    /** Share of an engine's memory claimed above which another replica is loaded. */
    val replicaKvShare: Double = 0.75,
    /** Prompt tokens that an engine reads in a millisecond. */
    val prefillTokensPerMs: Double = 38.0,
    /** Loss from evicting a model with one request a second and no other replica, in milliseconds of loading. */
    val evictionMsPerRate: Double = 2_000.0,
    /** Loss from a load from the store beside its time, in milliseconds: its engine takes no other order meanwhile. */
    val storeLoadLossMs: Double = 8_000.0,
    /** Part of that loss when another engine holds the model. */
    val otherReplicaShare: Double = 0.25,
    /** The longest wait for runs to end that still counts, in milliseconds: a load from the store is no better. */
    val longestRunEndMs: Double = 6_000.0,
    /** Time that an engine needs for a load which it has yet to begin, in milliseconds: a load from a disk. */
    val intendedLoadMs: Double = 1_000.0,
    /** Wait counted for each request under way on the engine that loads, in milliseconds. */
    val runDisturbanceMs: Double = 6.0,
    /** How many store loads run at full speed; more at once slow each other down. */
    val fullSpeedStoreLoads: Int = 4,
)
