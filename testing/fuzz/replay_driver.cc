// Runs a fuzz target without libFuzzer: every file of the corpus folder given
// as argument, then mutations of them from a fixed seed. The inputs are the
// same on every run; only the time limit can end a run early.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace {

constexpr std::uint64_t kSeed = 20240501;
constexpr int kMutations = 20000;
constexpr int kMaxEditsPerInput = 6;
constexpr std::size_t kMaxInputBytes = 64 * 1024;
// scripts/run_tests.sh ends a target after 120 s.
constexpr std::chrono::seconds kTimeLimit(60);

// Texts that steer parsers into rare branches.
const char* const kTokens[] = {"{",
                               "}",
                               "[",
                               "]",
                               "\"",
                               ",",
                               ":",
                               "//",
                               "/*",
                               "*/",
                               "\n",
                               "\\",
                               "-1",
                               "0",
                               "1e999",
                               "0.5",
                               "true",
                               "null",
                               "\\u0000",
                               "\xff",
                               "*",
                               "..",
                               "%2e",
                               "zones",
                               "\"\":0",
                               "\\ud8",
                               "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
                               "18446744073709551616"};

class mutator {
 public:
  explicit mutator(std::vector<std::string> corpus)
      : corpus_(std::move(corpus)), random_(kSeed) {}

  std::string Next() {
    std::string input = corpus_[Below(corpus_.size())];
    const std::size_t edits = 1 + Below(kMaxEditsPerInput);
    for (std::size_t i = 0; i < edits; ++i) Edit(&input);
    if (input.size() > kMaxInputBytes) input.resize(kMaxInputBytes);
    return input;
  }

 private:
  // std::uniform_int_distribution differs between libraries; this does not.
  std::size_t Below(std::size_t limit) {
    return limit == 0 ? 0 : static_cast<std::size_t>(random_() % limit);
  }

  void Edit(std::string* input) {
    const std::size_t at = Below(input->size() + 1);
    const std::size_t length = Below(std::min<std::size_t>(
        input->size() - at + 1, std::size_t{1} << Below(8)));
    switch (Below(6)) {
      case 0:  // Change one byte.
        if (at < input->size()) {
          (*input)[at] = static_cast<char>(random_() & 0xff);
        }
        break;
      case 1:  // Flip one bit.
        if (at < input->size()) {
          (*input)[at] = static_cast<char>((*input)[at] ^ (1 << Below(8)));
        }
        break;
      case 2:
        input->erase(at, length);
        break;
      case 3:
        input->insert(at, input->substr(at, length));
        break;
      case 4:
        input->insert(at, kTokens[Below(std::size(kTokens))]);
        break;
      default:
        Splice(input, at);
        break;
    }
  }

  // Cuts the input at `at` and goes on with the rest of another one, which is
  // empty in some cases.
  void Splice(std::string* input, std::size_t at) {
    const std::string& other = corpus_[Below(corpus_.size())];
    input->resize(at);
    input->append(other, Below(other.size() + 1), std::string::npos);
  }

  std::vector<std::string> corpus_;
  std::mt19937_64 random_;
};

std::vector<std::string> ReadCorpus(const char* folder) {
  std::vector<std::filesystem::path> paths;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    if (entry.is_regular_file()) paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> corpus;
  for (const auto& path : paths) {
    std::ifstream in(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(in),
                        std::istreambuf_iterator<char>());
  }
  return corpus;
}

// Copies the input to memory of its exact size, so that AddressSanitizer sees
// a read past its end.
void Run(const std::string& input) {
  const std::vector<std::uint8_t> bytes(input.begin(), input.end());
  LLVMFuzzerTestOneInput(bytes.data(), bytes.size());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s CORPUS_FOLDER\n", argv[0]);
    return 2;
  }
  const std::vector<std::string> corpus = ReadCorpus(argv[1]);
  if (corpus.empty()) {
    std::fprintf(stderr, "no files in %s\n", argv[1]);
    return 2;
  }
  const auto end = std::chrono::steady_clock::now() + kTimeLimit;
  for (const std::string& input : corpus) Run(input);
  mutator mutations(corpus);
  int done = 0;
  while (done < kMutations && std::chrono::steady_clock::now() < end) {
    Run(mutations.Next());
    ++done;
  }
  std::printf("%zu files and %d of %d mutations\n", corpus.size(), done,
              kMutations);
  return 0;
}
