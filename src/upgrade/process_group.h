// The group of processes of one dispatcher that run at the same time during an upgrade. They share a
// directory with these files:
//
//   process-TIME
//       The member file of one process. TIME is the process's start time in nanoseconds, as 16 hex digits.
//       The process creates the file, holds an exclusive flock on it while it runs, and removes it when it
//       exits in order. The file is one byte long while the process accepts new client connections, and empty
//       otherwise.
//   jobs-TIME
//       The Unix socket at which that process receives jobs (JobTransfer).
//   bans.json
//       The list of banned workers (ban_list.h). It is replaced by rename, never written in place.
//   bans.lock
//       The file that a process locks with flock while it changes bans.json.
//   ids.lock
//       The file whose bytes the processes lock while jobs are open (job_id_locks.h).
//   process-TIME.bans
//       The new bans.json before the rename.
//
// After a crash: the kernel releases the locks of a killed process. A member file without a lock does not
// count as a process, and the next process that lists the members removes the file and its socket. A crash
// before the rename leaves the old bans.json and a process-TIME.bans, which is removed in the same way. A
// crash after the rename leaves the new list, which the other processes read when they notice the file's new
// write time.
#ifndef ALDERSILL_SRC_UPGRADE_PROCESS_GROUP_H_
#define ALDERSILL_SRC_UPGRADE_PROCESS_GROUP_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/unique_descriptor.h"
#include "upgrade/ban_list.h"

namespace aldersill::upgrade {

// The number of other processes of this dispatcher.
struct OtherProcesses {
  int older = 0;  // started before this process
  int newer = 0;  // started after this process
  int count() const { return older + newer; }
};

// This process's membership in the group. It lasts from construction to destruction.
class ProcessGroup {
 public:
  // Joins the group of `directory`, which is created if it is missing. `start_time`: the process's start time
  // in nanoseconds, which orders the members and must differ between them. Throws std::runtime_error if the
  // member file cannot be created and locked.
  ProcessGroup(std::filesystem::path directory, std::uint64_t start_time);
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  // Counts the other running members.
  OtherProcesses Others() const;
  // Counts the other running members that accept new client connections, as they announced last.
  OtherProcesses OthersListening() const;
  // Announces whether this process accepts new client connections.
  void SetListening(bool listening);

  // Returns the path of the Unix socket at which this process receives jobs.
  std::string OwnSocket() const;
  // Returns the path of that socket of the newest other process that accepts new client connections; empty if
  // there is no such process.
  std::string NewestListeningSocket() const;

  // Returns whether the directory has changed since the last call: a process may have joined or left in
  // order, or the bans may have been replaced. The death of a killed process does not change the directory.
  bool Changed();
  // Returns whether bans.json has been replaced since this process last read it.
  bool BansChanged() const;
  // Returns an empty list if there is no file, and nothing if the file does not hold a valid list.
  std::optional<BanList> ReadBans();
  // Reads the list, applies `change`, replaces the file and returns the new list, while holding the lock
  // against other processes. An invalid list counts as empty. Throws std::runtime_error if bans.lock cannot
  // be locked or bans.json cannot be replaced; bans.json is unchanged then.
  BanList ChangeBans(const std::function<void(BanList*)>& change);

 private:
  enum class MemberFilter { kAll, kListening };

  // Returns the names of the other members' files, oldest first. Removes the files of killed processes.
  std::vector<std::string> OtherMembers(MemberFilter filter) const;
  OtherProcesses CountOthers(MemberFilter filter) const;
  // Returns the path of the socket of the member with this file name.
  std::string SocketOf(const std::string& member) const;
  void WriteBans(const BanList& bans) const;

  const std::filesystem::path directory_;
  const std::string own_name_;                        // name of this process's member file
  UniqueDescriptor own_file_;                         // the member file; holds the lock
  std::filesystem::file_time_type bans_read_time_{};  // write time of bans.json when it was last read
  std::filesystem::file_time_type checked_time_{};    // write time of the directory at the last Changed()
};

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_PROCESS_GROUP_H_
