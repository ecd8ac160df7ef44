#include "upgrade/job_id_locks.h"

#include <fcntl.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace aldersill::upgrade {
namespace {

constexpr const char* kFileName = "ids.lock";
constexpr mode_t kOwnerOnly = 0600;
// Offsets of a file are non-negative 64-bit integers, and a lock must end before the largest one.
constexpr int kUnusedHashBits = 2;

off_t OffsetOf(const std::string& id) {
  return static_cast<off_t>(XXH3_64bits(id.data(), id.size()) >> kUnusedHashBits);
}

}  // namespace

JobIdLocks::JobIdLocks(const std::filesystem::path& directory) {
  const std::filesystem::path path = directory / kFileName;
  file_ = UniqueDescriptor(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly));
  if (!file_.valid())
    throw std::runtime_error("cannot open " + path.string() + ": " + std::strerror(errno));
}

bool JobIdLocks::Lock(const std::string& id, Mode mode) {
  return SetLock(id, mode == Mode::kExclusive ? F_WRLCK : F_RDLCK);
}

void JobIdLocks::Unlock(const std::string& id) { SetLock(id, F_UNLCK); }

bool JobIdLocks::SetLock(const std::string& id, short type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = OffsetOf(id);
  lock.l_len = 1;
  if (fcntl(file_.get(), F_OFD_SETLK, &lock) == 0)
    return true;
  return errno != EAGAIN && errno != EACCES;
}

}  // namespace aldersill::upgrade
