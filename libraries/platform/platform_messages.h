#ifndef POMELOSPAR_LIBRARIES_PLATFORM_PLATFORM_MESSAGES_H_
#define POMELOSPAR_LIBRARIES_PLATFORM_PLATFORM_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "libraries/core/result.h"
#include "libraries/platform/platform_client.h"

namespace pomelospar::platform {

/// Encode and decode the JSON bodies that docs/platform.md describes. Decoders fail with
/// `kMalformed`, and the encoder with `kInvalidArgument` if a key or value is not UTF-8.
core::Result<std::string> EncodeTransactions(const std::vector<Transaction>& transactions);
core::Result<std::vector<TransactionResult>> DecodeTransactionResults(
    std::string_view text, const std::vector<Transaction>& transactions);
core::Result<Row> DecodeRow(std::string_view text);
core::Result<std::vector<Row>> DecodeRows(std::string_view text);
core::Result<InstanceChanges> DecodeInstanceChanges(std::string_view text);

}  // namespace pomelospar::platform

#endif  // POMELOSPAR_LIBRARIES_PLATFORM_PLATFORM_MESSAGES_H_
