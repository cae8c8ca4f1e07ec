#ifndef POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_DIRECTORY_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_DIRECTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/dispatch/runner.h"

namespace pomelospar::dispatch {

/// A changed entry of the runner directory, as it is after the change.
struct RunnerChange {
  std::string id;
  /// Absent if the entry was removed or does not describe a usable runner.
  std::optional<RunnerRecord> record;
};

/// A change of the directory from one content to the next, as one router read it from the store.
/// With the hashes of both contents another router checks that the change applies to the content it
/// knows and leads to the content of the store.
struct DirectoryChange {
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  std::vector<RunnerChange> entries;
};

/// Hashes of the entries of the runner directory, enough to tell whether two routers know the same
/// content.
class RunnerDirectory {
 public:
  /// Applies a change of one entry. Returns false if the entry already had this value.
  bool Apply(const RunnerChange& change);
  /// Returns the identifiers that this directory contains and `listed` does not.
  std::vector<std::string> MissingFrom(const std::set<std::string>& listed) const;
  /// Returns a hash of the whole content; equal contents have the same hash in all processes.
  std::uint64_t state() const;
  /// Returns true if the change starts from this content and leads to the content that it names.
  /// Does not apply the change.
  bool CanApply(const DirectoryChange& change) const;

 private:
  /// Hash of each entry by the identifier of its runner.
  std::map<std::string, std::uint64_t> hashes;
};

/// The latest changes of the directory, which are sent to the other routers for a short time so
/// that they need not read them from the store. Without this, a release or a crash of many runners
/// in a large fleet costs one store call of every router for each changed entry.
class DirectoryChangeLog {
 public:
  /// Changes with more entries are not sent, because they would not fit in the datagram of a
  /// report.
  static constexpr std::size_t kMaxEntries = 48;
  /// A change is sent in all reports of this period, so that the loss of one or two reports does
  /// not matter.
  static constexpr core::Duration kReportPeriod = std::chrono::milliseconds(1200);

  void Record(core::TimePoint now, DirectoryChange change);
  /// Returns the changes to send, oldest first, with at most `kMaxEntries` entries in all.
  std::vector<DirectoryChange> Recent(core::TimePoint now);

 private:
  struct Recorded {
    core::TimePoint at;
    DirectoryChange change;
  };
  std::deque<Recorded> recorded;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_DIRECTORY_H_
