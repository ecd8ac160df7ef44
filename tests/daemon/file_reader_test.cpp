// Tests that unreadable files are distinguished from missing files.
#include "config/file_reader.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "config/errors.h"
#include "daemon_under_test.h"

namespace aldersill::tests {
namespace {

TEST_CASE("a file is read completely up to the limit; an unreadable file is an error with the reason") {
  const TemporaryDirectory directory;
  const std::string path = directory.path() / "file";
  std::ofstream(path) << std::string(10'000, 'x');
  CHECK(ReadFile(path, "error", 20'000).size() == 10'000);
  CHECK(ReadFile(path, "error", 5'000).size() < 10'000);
  CHECK_THROWS_WITH_AS(ReadFile(directory.path(), "error", 1), "error (Is a directory)", UnreadableFile);
  CHECK_THROWS_WITH_AS(ReadFile(path + ".none", "error", 1), "error", UnreadableFile);
}

TEST_CASE("a file whose status cannot be read is not missing") {
  const TemporaryDirectory directory;
  const std::filesystem::path loop = directory.path() / "loop";
  std::filesystem::create_symlink(loop, loop);
  CHECK_FALSE(IsMissingFile(loop));
  CHECK(IsMissingFile(directory.path() / "none"));
}

}  // namespace
}  // namespace aldersill::tests
