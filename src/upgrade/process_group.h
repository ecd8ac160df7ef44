// The folder that the processes of one dispatcher share while one is upgraded to the next: who is there, and
// the bans. A process is there while it holds the lock on its file, which the kernel lets go of however it
// ends.
#ifndef ALDERSILL_SRC_UPGRADE_PROCESS_GROUP_H_
#define ALDERSILL_SRC_UPGRADE_PROCESS_GROUP_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "upgrade/ban_list.h"

namespace aldersill::upgrade {

// The other processes that are there, by when they joined against this one.
struct OtherProcesses {
  int older = 0, newer = 0;
  int count() const { return older + newer; }
};

class ProcessGroup {
 public:
  // Joins: makes the folder where it lacks, and holds the lock on a file of its own. `now`: what the file is
  // named by, so that later processes have later names, in nanoseconds. Throws std::runtime_error where that
  // cannot be done.
  ProcessGroup(std::filesystem::path folder, std::uint64_t now);
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  OtherProcesses Others() const;
  // Those of them that listen for clients, by what they told last.
  OtherProcesses OthersListening() const;
  void SetListening(bool listens);
  // Where this process may be reached by the others, and the newest of those that listen; empty where none
  // does.
  std::string OwnSocket() const;
  std::string NewestListeningSocket() const;
  // Whether a process may have come or left in order, or the bans been written, since this was last asked.
  bool Changed();
  // Whether the bans may have been written since they were last read here.
  bool BansChanged() const;
  // Empty where none were ever kept; nothing where what lies there is no list of bans.
  std::optional<BanList> ReadBans();
  // Reads, changes and writes with no other process in between: the file is whole or as before. Gives what
  // was written. Throws std::runtime_error.
  BanList ChangeBans(const std::function<void(BanList*)>& change);

 private:
  // The others' files, in the order in which they came.
  std::vector<std::string> Present(bool listening_only) const;
  OtherProcesses Count(bool listening_only) const;
  std::string SocketOf(const std::string& process) const;

  const std::filesystem::path folder_;
  std::string own_;  // the name of this process's file
  int own_fd_ = -1;
  std::filesystem::file_time_type read_at_{}, looked_at_{};
};

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_PROCESS_GROUP_H_
