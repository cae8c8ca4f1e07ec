#ifndef POMELOSPAR_LIBRARIES_PLATFORM_PLATFORM_CLIENT_H_
#define POMELOSPAR_LIBRARIES_PLATFORM_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/core/result.h"

namespace pomelospar::platform {

/// A row of the table service. Versions start at 1 and grow with every write of the row.
struct Row {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

/// A write that takes effect only if the row has the expected version (0: the row does not exist).
/// Without an expected version it always takes effect.
struct Write {
  std::string key;
  std::string value;
  std::optional<std::uint64_t> expected_version;
};

/// Writes that take effect atomically: all of them or none.
struct Transaction {
  std::vector<Write> writes;
};

struct TransactionResult {
  bool committed = false;
  /// The rows as they are after the attempt, in the order of the writes; an absent row has
  /// version 0. On a conflict they contain the versions that caused it.
  std::vector<Row> rows;
};

enum class InstanceStatus { kLive, kLeaving };

/// An entry of the platform's instance list.
struct Instance {
  /// "ip:port" of a router's control listener or of a runner.
  std::string address;
  std::string domain;
  /// "router", or the name of the upstream that a runner belongs to.
  std::string role;
  InstanceStatus status = InstanceStatus::kLive;
  /// Identifies one run of the process; it differs between two runs at the same address.
  std::string incarnation;
  std::uint32_t slots = 1;
};

/// Changes of the instance list since a version. With `complete`, `changed` is the whole list.
struct InstanceChanges {
  std::uint64_t version = 0;
  bool complete = false;
  std::vector<Instance> changed;
  std::vector<std::string> removed_addresses;
};

template <typename T>
using Callback = std::function<void(core::Result<T>)>;

/// The interface through which the daemon uses the platform. Each callback runs once, on the I/O
/// thread.
/// Errors: `kUnavailable` means that the request was not sent; `kUnknownOutcome` means that a write
/// was sent and its response was lost, so it may have taken effect; `kTimeout` is used for reads.
struct PlatformClient {
  /// Executes independent transactions in one call. The results are in the same order.
  std::function<void(std::vector<Transaction>, Callback<std::vector<TransactionResult>>)> commit;
  std::function<void(std::string key, Callback<std::optional<Row>>)> read_row;
  /// Reads at most `limit` rows whose key starts with `prefix` and follows `after_key`, ordered by
  /// key.
  std::function<void(std::string prefix, std::string after_key, std::uint32_t limit,
                     Callback<std::vector<Row>>)>
      scan_rows;
  std::function<void(std::string name, std::string content, Callback<bool>)> put_object;
  std::function<void(std::string name, Callback<std::optional<std::string>>)> read_object;
  std::function<void(std::uint64_t since_version, Callback<InstanceChanges>)> list_instances;
};

}  // namespace pomelospar::platform

#endif  // POMELOSPAR_LIBRARIES_PLATFORM_PLATFORM_CLIENT_H_
