#include "services/pomelospard/fault_injection.h"

#include <utility>

namespace pomelospar::daemon {
namespace {

using platform::Callback;

// Fails the call and returns true while the platform is blocked. The callback runs later, as it
// does for a real call.
template <typename T>
bool FailIfBlocked(const FaultInjection& faults, const Callback<T>& callback) {
  if (!faults.block_platform) {
    return false;
  }
  faults.post([callback] {
    callback(
        core::MakeError(core::ErrorKind::kUnavailable,
                        "the platform is blocked by fault injection; end it on the admin port"));
  });
  return true;
}

}  // namespace

platform::PlatformClient WithFaults(const platform::PlatformClient& client,
                                    const std::shared_ptr<const FaultInjection>& faults) {
  platform::PlatformClient guarded;
  guarded.commit = [faults, call = client.commit](
                       std::vector<platform::Transaction> transactions,
                       Callback<std::vector<platform::TransactionResult>> callback) {
    if (!FailIfBlocked(*faults, callback)) {
      call(std::move(transactions), std::move(callback));
    }
  };
  guarded.read_row = [faults, call = client.read_row](
                         std::string key, Callback<std::optional<platform::Row>> callback) {
    if (!FailIfBlocked(*faults, callback)) {
      call(std::move(key), std::move(callback));
    }
  };
  guarded.scan_rows = [faults, call = client.scan_rows](
                          std::string prefix, std::string after_key, std::uint32_t limit,
                          Callback<std::vector<platform::Row>> callback) {
    if (!FailIfBlocked(*faults, callback)) {
      call(std::move(prefix), std::move(after_key), limit, std::move(callback));
    }
  };
  guarded.put_object = [faults, call = client.put_object](std::string name, std::string content,
                                                          Callback<bool> callback) {
    if (!FailIfBlocked(*faults, callback)) {
      call(std::move(name), std::move(content), std::move(callback));
    }
  };
  guarded.read_object = [faults, call = client.read_object](
                            std::string name, Callback<std::optional<std::string>> callback) {
    if (!FailIfBlocked(*faults, callback)) {
      call(std::move(name), std::move(callback));
    }
  };
  guarded.list_instances = [faults, call = client.list_instances](
                               std::uint64_t since, Callback<platform::InstanceChanges> callback) {
    if (!FailIfBlocked(*faults, callback)) {
      call(since, std::move(callback));
    }
  };
  return guarded;
}

}  // namespace pomelospar::daemon
