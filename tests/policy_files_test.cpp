// Checks that the deploy files name every file of the decision module and no others, and that none of these
// files is too long.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <string>

namespace {

constexpr int kLineLimit = 400;  // every file must have fewer lines
constexpr std::size_t kColumnLimit = 110;

const std::filesystem::path kRoot = ALDERSILL_SOURCE_DIR;

std::set<std::string> ModuleFiles() {
  std::set<std::string> files;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(kRoot / "src/dispatch")) {
    if (entry.is_regular_file())
      files.insert(entry.path().lexically_relative(kRoot).generic_string());
  }
  return files;
}

// The quoted names in the line `policy = [...]` of a deploy file. A name that is listed twice fails the test.
std::set<std::string> FilesNamedIn(const std::string& deploy_file) {
  std::ifstream deploy(kRoot / deploy_file);
  EXPECT_TRUE(deploy) << deploy_file;
  std::set<std::string> files;
  for (std::string line; std::getline(deploy, line);) {
    if (line.rfind("policy = [", 0) != 0)
      continue;
    const std::regex quoted("\"([^\"]*)\"");
    for (auto name = std::sregex_iterator(line.begin(), line.end(), quoted); name != std::sregex_iterator();
         ++name)
      EXPECT_TRUE(files.insert((*name)[1]).second) << deploy_file << " lists a file twice: " << (*name)[1];
  }
  return files;
}

TEST(PolicyFiles, DeployFilesNameTheFilesOfTheModuleAndNoOthers) {
  const std::set<std::string> expected = ModuleFiles();
  ASSERT_FALSE(expected.empty());
  for (const std::string& file : expected) {
    const std::string extension = std::filesystem::path(file).extension();
    EXPECT_TRUE(extension == ".cpp" || extension == ".h") << file << " is neither a header nor a source file";
  }
  EXPECT_EQ(FilesNamedIn("deploy/balancer.toml"), expected);
  EXPECT_EQ(FilesNamedIn("deploy/trace.toml"), expected);
}

TEST(PolicyFiles, EachStaysWithinItsLinesAndColumns) {
  for (const std::string& file : ModuleFiles()) {
    std::ifstream source(kRoot / file);
    ASSERT_TRUE(source) << file;
    int lines = 0;
    for (std::string line; std::getline(source, line); ++lines)
      EXPECT_LE(line.size(), kColumnLimit) << file << ":" << lines + 1;
    EXPECT_GT(lines, 0) << file;
    EXPECT_LT(lines, kLineLimit) << file;
  }
}

}  // namespace
