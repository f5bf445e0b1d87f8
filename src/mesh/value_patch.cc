// Packing with zstd: the base is a prefix of what is compressed, so that only
// what differs from it takes space.

#include <zstd.h>

#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

// Fast, and the window below finds what is far away.
constexpr int kLevel = 3;
constexpr int kLeastWindowLog = 10;
constexpr int kMostWindowLog = 24;  // 16 MB: base and value together.

// The least window that spans `bytes`.
int WindowLog(std::size_t bytes) {
  int log = kLeastWindowLog;
  while (log < kMostWindowLog && (std::size_t{1} << log) < bytes) ++log;
  return log;
}

struct free_contexts {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

}  // namespace

std::string Pack(std::string_view value, std::string_view base) {
  const std::unique_ptr<ZSTD_CCtx, free_contexts> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                         WindowLog(value.size() + base.size()));
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string packed(ZSTD_compressBound(value.size()), '\0');
  const std::size_t size = ZSTD_compress2(
      context.get(), packed.data(), packed.size(), value.data(), value.size());
  // With room for the bound only a lack of memory is left as an error.
  packed.resize(ZSTD_isError(size) != 0 ? 0 : size);
  packed.shrink_to_fit();
  return packed;
}

tl::expected<std::string, std::string> Unpack(std::string_view packed,
                                              std::string_view base,
                                              std::size_t most_bytes) {
  const unsigned long long told =
      ZSTD_getFrameContentSize(packed.data(), packed.size());
  if (told == ZSTD_CONTENTSIZE_ERROR || told == ZSTD_CONTENTSIZE_UNKNOWN) {
    return tl::unexpected<std::string>("no packed value");
  }
  if (told > most_bytes) {
    return tl::unexpected("value of " + std::to_string(told) + " bytes");
  }
  const std::unique_ptr<ZSTD_DCtx, free_contexts> context(ZSTD_createDCtx());
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string value(static_cast<std::size_t>(told), '\0');
  const std::size_t size = ZSTD_decompressDCtx(
      context.get(), value.data(), value.size(), packed.data(), packed.size());
  if (ZSTD_isError(size) != 0) {
    return tl::unexpected<std::string>(ZSTD_getErrorName(size));
  }
  if (size != value.size()) return tl::unexpected<std::string>("cut value");
  return value;
}

std::uint64_t patch_history::Newest() const {
  return patches_.empty() ? 0 : patches_.back().to;
}

void patch_history::Add(value_patch patch) {
  if (!patches_.empty() && patch.from != patches_.back().to) {
    patches_.clear();
    bytes_ = 0;
  }
  bytes_ += patch.packed.size();
  patches_.push_back(std::move(patch));
  while (!patches_.empty() &&
         (patches_.size() > kMaxPatches || bytes_ > kMaxBytes)) {
    bytes_ -= patches_.front().packed.size();
    patches_.pop_front();
  }
}

std::optional<std::vector<value_patch>> patch_history::Since(
    std::uint64_t revision) const {
  if (patches_.empty() || patches_.front().from > revision) return std::nullopt;
  std::vector<value_patch> steps;
  for (const value_patch& each : patches_) {
    if (each.to > revision) steps.push_back(each);
  }
  return steps;
}

}  // namespace pimentohall::mesh
