// The processes of one dispatcher that run side by side while one is upgraded to the next. They share a
// directory:
//
//   process-TIME    One for each process, named by its start in nanoseconds as 16 hex digits. A process
//   creates
//                   its file, holds an exclusive flock on it for life, and removes it at an orderly end. It
//                   makes the file one byte long while it accepts new client connections, and empty
//                   otherwise.
//   jobs-TIME       The Unix socket at which that process receives jobs (JobTransfer).
//   bans.json       The list of banned workers (ban_list.h). Replaced by rename, never written in place.
//   bans.lock       Held with flock by the process that changes bans.json.
//   process-TIME.bans   The next bans.json, before the rename.
//
// What a crash leaves: the kernel releases the locks of a killed process, so a member's file without a lock
// counts as no process, and whoever lists the members removes it with its socket. A crash before the rename
// leaves bans.json as it was, and a process-TIME.bans that is removed the same way. One after the rename
// leaves the new list, which the others read when they see the file's new time.
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

// How many other processes there are, by whether they started before or after this one.
struct OtherProcesses {
  int older = 0;
  int newer = 0;
  int count() const { return older + newer; }
};

// This process's membership in the group, from construction to destruction.
class ProcessGroup {
 public:
  // Joins the group of `directory`, which is created if missing. `start_time`: in nanoseconds, different for
  // each member; it orders the members. Throws std::runtime_error if the member's file cannot be created and
  // locked.
  ProcessGroup(std::filesystem::path directory, std::uint64_t start_time);
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  OtherProcesses Others() const;
  // Those of the others that last announced that they accept new client connections.
  OtherProcesses OthersListening() const;
  // Announces whether this process accepts new client connections.
  void SetListening(bool listening);

  // Path of the Unix socket at which this process receives jobs.
  std::string OwnSocket() const;
  // The same of the newest other process that accepts clients; empty where there is none.
  std::string NewestListeningSocket() const;

  // Whether the directory has changed since the last call: a process may have joined or left in order, or the
  // bans may have been replaced. The end of a killed process changes nothing.
  bool Changed();
  // Whether bans.json has been replaced since it was last read here.
  bool BansChanged() const;
  // Empty if there is no file; nothing if the file holds no valid list.
  std::optional<BanList> ReadBans();
  // Reads, changes and replaces the list while no other process can change it, and returns the new list. An
  // invalid list counts as empty. Throws std::runtime_error if the file cannot be locked or replaced; it is
  // as before then.
  BanList ChangeBans(const std::function<void(BanList*)>& change);

 private:
  enum class Which { kAll, kListening };

  // The names of the other members' files, oldest first. Removes what killed processes left.
  std::vector<std::string> OtherMembers(Which which) const;
  OtherProcesses CountOthers(Which which) const;
  std::string SocketOf(const std::string& member) const;
  void WriteBans(const BanList& bans) const;

  const std::filesystem::path directory_;
  const std::string own_name_;                        // of this member's file
  UniqueDescriptor own_file_;                         // holds the lock
  std::filesystem::file_time_type bans_read_time_{};  // of bans.json when it was last read
  std::filesystem::file_time_type checked_time_{};    // of the directory at the last Changed()
};

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_PROCESS_GROUP_H_
