/*
 * The port to the platform's list of VMs. The list lags behind the truth: a VM may be gone and still listed, or live
 * and not listed yet.
 */
package io.daisybend.kernel

import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a listed VM stays or is about to be reclaimed. */
@Serializable
public enum class VmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/** One listed VM with the addresses on which its daemon serves. */
@Serializable
public data class VmEntry(
    val vmId: VmId,
    val failureDomainId: FailureDomainId,
    val region: String,
    val callerAddress: String,
    val peerAddress: String,
    val state: VmState = VmState.LIVE,
)

/** The list could not be read. */
public data class DirectoryUnavailable(override val message: String) : Failure

/** Reads and updates the platform's list of VMs. */
public interface VmDirectory {
    /** Returns the listed VMs; fails when the platform does not answer. */
    public suspend fun list(): Result<List<VmEntry>, DirectoryUnavailable>

    /** Registers or refreshes [entry]; fails when the platform does not answer. */
    public suspend fun register(entry: VmEntry): Result<Unit, DirectoryUnavailable>

    /** Removes [vmId] from the list; fails when the platform does not answer. */
    public suspend fun remove(vmId: VmId): Result<Unit, DirectoryUnavailable>
}
