#include "upgrade/process_group.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace aldersill::upgrade {
namespace {

namespace fs = std::filesystem;

constexpr const char* kProcess = "process-";
constexpr const char* kBans = "bans.json";
constexpr const char* kBansLock = "bans.lock";

[[noreturn]] void Throw(const std::string& what, const fs::path& path) {
  throw std::runtime_error(what + " " + path.string() + ": " + std::strerror(errno));
}

// An open file that may be locked; closes itself.
class OpenFile {
 public:
  OpenFile(const fs::path& path, int flags) : fd_(open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~OpenFile() {
    if (fd_ >= 0)
      close(fd_);
  }
  OpenFile(const OpenFile&) = delete;
  OpenFile& operator=(const OpenFile&) = delete;
  bool opened() const { return fd_ >= 0; }
  bool Lock(int how) const { return flock(fd_, how) == 0; }
  int Release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

// Names of one length, so that they sort as the times do.
std::string ProcessName(std::uint64_t now) {
  char name[48];
  std::snprintf(name, sizeof(name), "%s%016llx", kProcess, static_cast<unsigned long long>(now));
  return name;
}

bool IsHeld(const fs::path& file) {
  const OpenFile opened(file, O_RDONLY);
  return opened.opened() && !opened.Lock(LOCK_SH | LOCK_NB) && errno == EWOULDBLOCK;
}

}  // namespace

ProcessGroup::ProcessGroup(fs::path folder, std::uint64_t now)
    : folder_(std::move(folder)), own_(ProcessName(now)) {
  std::error_code error;
  fs::create_directories(folder_, error);
  OpenFile file(folder_ / own_, O_RDWR | O_CREAT | O_EXCL);
  if (!file.opened() || !file.Lock(LOCK_EX | LOCK_NB))
    Throw("cannot keep", folder_ / own_);
  own_fd_ = file.Release();
}

ProcessGroup::~ProcessGroup() {
  std::error_code ignored;
  fs::remove(folder_ / own_, ignored);
  close(own_fd_);
}

OtherProcesses ProcessGroup::Others() const { return Count(false); }
OtherProcesses ProcessGroup::OthersListening() const { return Count(true); }

// A process's file holds something while it listens.
void ProcessGroup::SetListening(bool listens) {
  const off_t size = listens ? 1 : 0;
  static_cast<void>(ftruncate(own_fd_, size) == 0);
}

OtherProcesses ProcessGroup::Count(bool listening_only) const {
  OtherProcesses others;
  for (const std::string& name : Present(listening_only))
    ++(name < own_ ? others.older : others.newer);
  return others;
}

std::vector<std::string> ProcessGroup::Present(bool listening_only) const {
  std::vector<std::string> names;
  std::error_code error;
  for (fs::directory_iterator at(folder_, error), end; !error && at != end; at.increment(error)) {
    const std::string name = at->path().filename().string();
    if (!name.starts_with(kProcess) || name == own_)
      continue;
    std::error_code ignored;
    if (!IsHeld(at->path())) {  // of one that was killed
      fs::remove(at->path(), ignored);
      fs::remove(SocketOf(name), ignored);
    } else if (!listening_only || fs::file_size(at->path(), ignored) > 0) {
      names.push_back(name);
    }
  }
  std::ranges::sort(names);
  return names;
}

// A socket's path must be short: the time alone.
std::string ProcessGroup::SocketOf(const std::string& process) const {
  return (folder_ / ("jobs-" + process.substr(std::strlen(kProcess)))).string();
}

std::string ProcessGroup::OwnSocket() const { return SocketOf(own_); }

std::string ProcessGroup::NewestListeningSocket() const {
  const std::vector<std::string> names = Present(true);
  return names.empty() ? "" : SocketOf(names.back());
}

bool ProcessGroup::Changed() {
  std::error_code error;
  const auto written = fs::last_write_time(folder_, error);
  return !error && std::exchange(looked_at_, written) != written;
}

bool ProcessGroup::BansChanged() const {
  std::error_code error;
  const auto written = fs::last_write_time(folder_ / kBans, error);
  return !error && written != read_at_;
}

std::optional<BanList> ProcessGroup::ReadBans() {
  std::error_code error;
  // Before the text: what is written in between is read again.
  const auto written = fs::last_write_time(folder_ / kBans, error);
  if (error)
    return BanList{};
  std::ifstream file(folder_ / kBans);
  std::ostringstream text;
  text << file.rdbuf();
  read_at_ = written;
  return DecodeBans(text.str());
}

BanList ProcessGroup::ChangeBans(const std::function<void(BanList*)>& change) {
  const OpenFile lock(folder_ / kBansLock, O_RDWR | O_CREAT);
  if (!lock.opened() || !lock.Lock(LOCK_EX))
    Throw("cannot lock", folder_ / kBansLock);
  BanList bans = ReadBans().value_or(BanList{});
  change(&bans);
  const fs::path fresh = folder_ / (own_ + ".bans");
  std::ofstream file(fresh, std::ios::trunc);
  file << EncodeBans(bans);
  file.close();
  if (!file)
    Throw("cannot write", fresh);
  if (std::rename(fresh.c_str(), (folder_ / kBans).c_str()) != 0)
    Throw("cannot replace", folder_ / kBans);
  return bans;
}

}  // namespace aldersill::upgrade
