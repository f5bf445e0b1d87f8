// Values are compressed with zstd, with the base as a prefix, so that only the
// differences from the base take space.

#include <zstd.h>

#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

// A fast level suffices: the window spans the base, so distant matches are
// found.
constexpr int kCompressionLevel = 3;
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 24;  // 16 MB, for base and value together.

// The smallest window that spans `bytes`.
int WindowLog(std::size_t bytes) {
  int log = kMinWindowLog;
  while (log < kMaxWindowLog && (std::size_t{1} << log) < bytes) ++log;
  return log;
}

struct free_contexts {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

}  // namespace

std::string Pack(std::string_view value, std::string_view base) {
  const std::unique_ptr<ZSTD_CCtx, free_contexts> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                         kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                         WindowLog(value.size() + base.size()));
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string packed(ZSTD_compressBound(value.size()), '\0');
  const std::size_t size = ZSTD_compress2(
      context.get(), packed.data(), packed.size(), value.data(), value.size());
  // With a buffer of the compression bound, the only possible error is a lack
  // of memory.
  packed.resize(ZSTD_isError(size) != 0 ? 0 : size);
  packed.shrink_to_fit();
  return packed;
}

tl::expected<std::string, std::string> Unpack(std::string_view packed,
                                              std::string_view base,
                                              std::size_t max_bytes) {
  const unsigned long long content_size =
      ZSTD_getFrameContentSize(packed.data(), packed.size());
  if (content_size == ZSTD_CONTENTSIZE_ERROR ||
      content_size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return tl::unexpected<std::string>("no packed value");
  }
  if (content_size > max_bytes) {
    return tl::unexpected("value of " + std::to_string(content_size) +
                          " bytes is too large");
  }
  const std::unique_ptr<ZSTD_DCtx, free_contexts> context(ZSTD_createDCtx());
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string value(static_cast<std::size_t>(content_size), '\0');
  const std::size_t size = ZSTD_decompressDCtx(
      context.get(), value.data(), value.size(), packed.data(), packed.size());
  if (ZSTD_isError(size) != 0) {
    return tl::unexpected<std::string>(ZSTD_getErrorName(size));
  }
  if (size != value.size()) return tl::unexpected<std::string>("short value");
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
  std::vector<value_patch> patches;
  for (const value_patch& patch : patches_) {
    if (patch.to > revision) patches.push_back(patch);
  }
  return patches;
}

}  // namespace pimentohall::mesh
