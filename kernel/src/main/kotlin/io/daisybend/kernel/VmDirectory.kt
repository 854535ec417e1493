/*
 * Port to the platform's list of VMs. The list is updated with a delay: a VM that has stopped may still be listed, and
 * a running VM may not be listed yet.
 */
package io.daisybend.kernel

import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a listed VM: running, or about to be reclaimed by the platform. */
@Serializable
public enum class VmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/** Listed VM with the addresses on which its daemon accepts callers and peers. */
@Serializable
public data class VmEntry(
    val vmId: VmId,
    val failureDomainId: FailureDomainId,
    val region: String,
    val callerAddress: String,
    val peerAddress: String,
    val state: VmState = VmState.LIVE,
)

/** The platform's list of VMs could not be read or updated. */
public data class DirectoryUnavailable(override val message: String) : Failure

/** Reads and updates the platform's list of VMs. */
public interface VmDirectory {
    /** Returns the listed VMs; fails if the platform does not respond. */
    public suspend fun list(): Result<List<VmEntry>, DirectoryUnavailable>

    /** Registers or refreshes [entry]; fails if the platform does not respond. */
    public suspend fun register(entry: VmEntry): Result<Unit, DirectoryUnavailable>

    /** Removes [vmId] from the list; fails if the platform does not respond. */
    public suspend fun remove(vmId: VmId): Result<Unit, DirectoryUnavailable>
}
