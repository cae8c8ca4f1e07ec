#ifndef POMELOSPAR_LIBRARIES_CORE_IDENTIFIERS_H_
#define POMELOSPAR_LIBRARIES_CORE_IDENTIFIERS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace pomelospar::core {

/// Identifiers in messages: the xxHash64 of the declared name. Each kind of name has its own type,
/// so that identifiers of different kinds cannot be mixed up.
enum class WorkspaceId : std::uint64_t {};
enum class ClassId : std::uint64_t {};
enum class UpstreamId : std::uint64_t {};
enum class DomainId : std::uint64_t {};
/// A runner is named by its address, "ip:port".
enum class RunnerId : std::uint64_t {};

std::uint64_t HashName(std::string_view name);

template <typename Id>
Id IdOf(std::string_view name) {
  return static_cast<Id>(HashName(name));
}

template <typename Id>
std::uint64_t Raw(Id id) {
  return static_cast<std::uint64_t>(id);
}

/// Mixes two hashes into one, for rendezvous scores and hash-map keys.
std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second);

/// Returns the hash as a pseudo-random number in [0, 1).
inline double UnitFraction(std::uint64_t hash) {
  constexpr double kScale = 1.0 / static_cast<double>(1ULL << 53U);
  return static_cast<double>(hash >> 11U) * kScale;
}

/// One run of a router process. The address is "ip:port" of its control listener; the incarnation
/// is drawn at random at start, so that a restarted router is a different identity.
struct RouterIdentity {
  std::string address;
  std::uint64_t incarnation = 0;

  // clang-tidy 14 mistakes the zero in the generated comparison for a null pointer.
  auto operator<=>(const RouterIdentity&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// One group of runners of an upstream in one failure domain, served by one slot allocator.
struct ShardIdentity {
  UpstreamId upstream{};
  DomainId domain{};
  std::uint32_t index = 0;

  // clang-tidy 14 mistakes the zero in the generated comparison for a null pointer.
  auto operator<=>(const ShardIdentity&) const = default;  // NOLINT(modernize-use-nullptr)
};

std::uint64_t HashOf(const RouterIdentity& router);
std::uint64_t HashOf(const ShardIdentity& shard);

/// A random 64-bit number from the operating system that is never zero.
std::uint64_t RandomNonZero();

}  // namespace pomelospar::core

template <>
struct std::hash<pomelospar::core::RouterIdentity> {
  std::size_t operator()(const pomelospar::core::RouterIdentity& router) const {
    return pomelospar::core::HashOf(router);
  }
};

template <>
struct std::hash<pomelospar::core::ShardIdentity> {
  std::size_t operator()(const pomelospar::core::ShardIdentity& shard) const {
    return pomelospar::core::HashOf(shard);
  }
};

#endif  // POMELOSPAR_LIBRARIES_CORE_IDENTIFIERS_H_
