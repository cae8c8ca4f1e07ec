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

/// One entry of the directory of runners after a change.
struct RunnerChange {
  std::string id;
  /// Absent if the entry is gone or names no usable runner.
  std::optional<RunnerRecord> record;
};

/// A step of the directory from one content to the next, as one router read it from the store. The
/// hashes of both contents let another router check that the step fits what it knows and that it
/// ends where the store stands.
struct DirectoryChange {
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  std::vector<RunnerChange> entries;
};

/// The content of the directory as far as it decides whether two routers know the same.
class RunnerDirectory {
 public:
  /// False if the entry was so already.
  bool Apply(const RunnerChange& change);
  /// Identifiers that this directory holds and `listed` does not.
  std::vector<std::string> MissingFrom(const std::set<std::string>& listed) const;
  /// Hash of the whole content; equal for equal contents in all processes.
  std::uint64_t state() const;
  /// True if the step begins at this content and ends at the one that it names. Changes nothing.
  bool Fits(const DirectoryChange& change) const;

 private:
  /// By identifier.
  std::map<std::string, std::uint64_t> hashes;
};

/// The latest steps of the directory, which are told to the other routers for a short time so that
/// they need not ask the store. Answers a release or a crash of many runners in a large fleet, in
/// which each change of an entry would cost one call of each router.
class DirectoryChanges {
 public:
  /// A step with more entries is not told: it would not fit the datagram of a report.
  static constexpr std::size_t kMostEntries = 48;
  /// Steps are told for this time, so that the loss of one or two reports does not matter.
  static constexpr core::Duration kToldFor = std::chrono::milliseconds(1200);

  void Note(core::TimePoint now, DirectoryChange change);
  /// The steps to tell, oldest first, at most `kMostEntries` entries in all.
  std::vector<DirectoryChange> Recent(core::TimePoint now);

 private:
  struct Noted {
    core::TimePoint at;
    DirectoryChange change;
  };
  std::deque<Noted> noted;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_DIRECTORY_H_
