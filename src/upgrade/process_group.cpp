#include "upgrade/process_group.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace aldersill::upgrade {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view kMemberPrefix = "process-";
constexpr std::string_view kUnlockedPrefix = "starting-";
constexpr std::string_view kSocketPrefix = "jobs-";
constexpr const char* kBansFile = "bans.json";
constexpr const char* kBansLockFile = "bans.lock";
constexpr const char* kTemporaryBansSuffix = ".bans";
constexpr mode_t kOwnerOnly = 0600;

[[noreturn]] void ThrowSystemError(const std::string& what, const fs::path& path) {
  throw std::runtime_error(what + " " + path.string() + ": " + std::strerror(errno));
}

UniqueDescriptor OpenFile(const fs::path& path, int flags) {
  return UniqueDescriptor(open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly));
}

bool Lock(const UniqueDescriptor& file, int operation) { return flock(file.get(), operation) == 0; }

// All names have the same length, so their lexical order is the order of the start times.
std::string MemberName(std::uint64_t start_time) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(start_time));
  return std::string(kMemberPrefix) + digits.data();
}

// Returns whether a process holds the lock on the member's file. A file that cannot be opened or locked, for
// example as no descriptor is free, may belong to a running process.
bool IsRunning(const fs::path& member_file) {
  const UniqueDescriptor file = OpenFile(member_file, O_RDONLY);
  if (!file.valid())
    return errno != ENOENT;
  return !Lock(file, LOCK_SH | LOCK_NB);
}

}  // namespace

ProcessGroup::ProcessGroup(fs::path directory, std::uint64_t start_time)
    : directory_(std::move(directory)), own_name_(MemberName(start_time)) {
  std::error_code ignored;  // if the directory cannot be created, opening the file below fails
  fs::create_directories(directory_, ignored);
  // The file gets its name once it is locked: others take a member without a lock for a killed process, and
  // lock it for a moment themselves to find out.
  const fs::path unlocked = directory_ / (std::string(kUnlockedPrefix) + own_name_);
  own_file_ = OpenFile(unlocked, O_RDWR | O_CREAT | O_EXCL);
  if (!own_file_.valid() || !Lock(own_file_, LOCK_EX | LOCK_NB))
    ThrowSystemError("cannot create and lock", unlocked);
  if (link(unlocked.c_str(), (directory_ / own_name_).c_str()) != 0)
    ThrowSystemError("cannot create", directory_ / own_name_);
  fs::remove(unlocked, ignored);
}

ProcessGroup::~ProcessGroup() {
  // Removes the file while its lock is held, so that no other process takes this one for a killed process.
  std::error_code ignored;
  fs::remove(directory_ / own_name_, ignored);
}

OtherProcesses ProcessGroup::Others() const { return CountOthers(MemberFilter::kAll); }

OtherProcesses ProcessGroup::OthersListening() const { return CountOthers(MemberFilter::kListening); }

void ProcessGroup::SetListening(bool listening) {
  const off_t size = listening ? 1 : 0;
  static_cast<void>(ftruncate(own_file_.get(), size) == 0);
}

OtherProcesses ProcessGroup::CountOthers(MemberFilter filter) const {
  OtherProcesses others;
  for (const std::string& name : OtherMembers(filter)) {
    if (name < own_name_)
      ++others.older;
    else
      ++others.newer;
  }
  return others;
}

std::vector<std::string> ProcessGroup::OtherMembers(MemberFilter filter) const {
  std::vector<std::string> names;
  std::error_code error;
  for (fs::directory_iterator entry(directory_, error), end; !error && entry != end; entry.increment(error)) {
    const std::string name = entry->path().filename().string();
    if (!name.starts_with(kMemberPrefix) || name == own_name_)
      continue;
    std::error_code ignored;
    if (!IsRunning(entry->path())) {
      fs::remove(entry->path(), ignored);
      fs::remove(SocketOf(name), ignored);
    } else if (filter == MemberFilter::kAll || fs::file_size(entry->path(), ignored) > 0) {
      names.push_back(name);
    }
  }
  std::ranges::sort(names);
  return names;
}

// The socket's prefix is shorter than the member file's, because the length of a Unix socket's path is
// limited.
std::string ProcessGroup::SocketOf(const std::string& member) const {
  return (directory_ / (std::string(kSocketPrefix) + member.substr(kMemberPrefix.size()))).string();
}

std::string ProcessGroup::OwnSocket() const { return SocketOf(own_name_); }

std::string ProcessGroup::NewestListeningSocket() const {
  const std::vector<std::string> names = OtherMembers(MemberFilter::kListening);
  return names.empty() ? "" : SocketOf(names.back());
}

bool ProcessGroup::Changed() {
  std::error_code error;
  const auto written = fs::last_write_time(directory_, error);
  return !error && std::exchange(checked_time_, written) != written;
}

bool ProcessGroup::BansChanged() const {
  std::error_code error;
  const auto written = fs::last_write_time(directory_ / kBansFile, error);
  return !error && written != bans_read_time_;
}

std::optional<BanList> ProcessGroup::ReadBans() {
  std::error_code error;
  // The write time is taken before the file is read. If the file is replaced in between, BansChanged reports
  // the change and the file is read again.
  const auto written = fs::last_write_time(directory_ / kBansFile, error);
  if (error)
    return BanList{};
  std::ifstream file(directory_ / kBansFile);
  std::ostringstream text;
  text << file.rdbuf();
  bans_read_time_ = written;
  return DecodeBans(text.str());
}

BanList ProcessGroup::ChangeBans(const std::function<void(BanList*)>& change) {
  const UniqueDescriptor lock_file = OpenFile(directory_ / kBansLockFile, O_RDWR | O_CREAT);
  if (!lock_file.valid() || !Lock(lock_file, LOCK_EX))
    ThrowSystemError("cannot lock", directory_ / kBansLockFile);
  BanList bans = ReadBans().value_or(BanList{});
  change(&bans);
  WriteBans(bans);
  return bans;
}

void ProcessGroup::WriteBans(const BanList& bans) const {
  const fs::path temporary = directory_ / (own_name_ + kTemporaryBansSuffix);
  std::ofstream file(temporary, std::ios::trunc);
  file << EncodeBans(bans);
  file.close();
  if (!file)
    ThrowSystemError("cannot write", temporary);
  if (std::rename(temporary.c_str(), (directory_ / kBansFile).c_str()) != 0)
    ThrowSystemError("cannot replace", directory_ / kBansFile);
}

}  // namespace aldersill::upgrade
