// Tells the processes of one dispatcher which job ids are open in any of them, during an upgrade.
//
// Each open id is a lock of the kernel on one byte of a shared file, `ids.lock` in the group's directory
// (process_group.h), at an offset that is a hash of the id. The file stays empty. Locks belong to the open
// file, so they end with the process, also if it is killed.
#ifndef ALDERSILL_SRC_UPGRADE_JOB_ID_LOCKS_H_
#define ALDERSILL_SRC_UPGRADE_JOB_ID_LOCKS_H_

#include <filesystem>
#include <string>

#include "net/unique_descriptor.h"

namespace aldersill::upgrade {

class JobIdLocks {
 public:
  enum class Mode {
    kExclusive,  // the job is open in this process only
    kShared,     // the job is on its way from one process to another: both hold the lock
  };

  // Throws std::runtime_error if the file cannot be opened.
  explicit JobIdLocks(const std::filesystem::path& directory);

  // Locks the id, or changes the mode of this process's lock. Returns false if another process holds a lock
  // that excludes this one; a lock that this process has is unchanged then. A failure of the file system
  // counts as a success: without locks each process knows its own ids only.
  bool Lock(const std::string& id, Mode mode);
  // Does nothing if this process has no lock on the id.
  void Unlock(const std::string& id);

 private:
  // Sets a lock of the kernel's `type`. Returns false if another process's lock excludes it.
  bool SetLock(const std::string& id, short type);

  UniqueDescriptor file_;
};

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_JOB_ID_LOCKS_H_
