#include "config/file_reader.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "config/errors.h"
#include "net/unique_descriptor.h"

namespace aldersill {
namespace {

constexpr std::size_t kBlockBytes = 4096;

[[noreturn]] void ThrowUnreadable(const std::string& error, int reason) {
  throw UnreadableFile(reason == ENOENT ? error : error + " (" + std::strerror(reason) + ")");
}

UniqueDescriptor OpenForReading(const std::string& path, const std::string& error) {
  int fd = -1;
  do {
    fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  } while (fd < 0 && errno == EINTR);
  if (fd < 0)
    ThrowUnreadable(error, errno);
  return UniqueDescriptor(fd);
}

}  // namespace

std::string ReadFile(const std::string& path, const std::string& error, std::size_t max_bytes) {
  const UniqueDescriptor file = OpenForReading(path, error);
  std::string text;
  // The file is read in blocks, because a buffer of the maximum size would touch all its pages at each start
  // and SIGHUP.
  std::array<char, kBlockBytes> block{};
  for (;;) {
    const ssize_t size = read(file.get(), block.data(), block.size());
    if (size < 0 && errno == EINTR)
      continue;
    if (size < 0)
      ThrowUnreadable(error, errno);
    if (size == 0 || text.size() > max_bytes)
      return text;
    text.append(block.data(), static_cast<std::size_t>(size));
  }
}

bool IsMissingFile(const std::string& path) {
  struct stat unused {};
  return stat(path.c_str(), &unused) != 0 && (errno == ENOENT || errno == ENOTDIR);
}

}  // namespace aldersill
