#ifndef PIMENTOHALL_CONFIG_DOCUMENT_READER_H_
#define PIMENTOHALL_CONFIG_DOCUMENT_READER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "config/json_text.h"
#include "config/syntax.h"
#include "pimentohall/config.h"

namespace pimentohall::config {

// Appends a fault. The one at position `kMaxFaults` is replaced by a note that
// further faults are not listed; later ones are dropped.
void AddFault(fault added, faults* out);

// Collects the faults of one document.
class fault_sink {
 public:
  explicit fault_sink(std::string document) : document_(std::move(document)) {}

  void Add(int line, std::string field, std::string problem, std::string fix);
  bool Empty() const { return faults_.empty(); }
  faults Take() { return std::move(faults_); }

 private:
  std::string document_;
  faults faults_;
};

enum class presence { kRequired, kOptional };
enum class emptiness { kRefused, kAllowed };

struct integer_range {
  std::int64_t min;
  std::int64_t max;
};
inline constexpr integer_range kVersionRange = {
    1, std::numeric_limits<std::int64_t>::max()};
inline constexpr integer_range kPortRange = {1, 65535};

struct number_range {
  double min;
  double max;
};

template <typename E>
struct choice {
  const char* text;
  E value;
};

// Reads the fields of one JSON object into an aggregate and reports all
// faults in them. A field with a fault leaves its target unchanged, except
// that lists are filled anyway: `TextList` appends the elements without a
// fault, `Objects` appends all elements.
//
//   object_reader reader(value, pointer, sink);
//   reader.Text("name", kNameRule, &zone.name);
//   reader.Finish();
class object_reader {
 public:
  // `value` and `sink` must outlive this object.
  object_reader(const json_value& value, std::string pointer, fault_sink* sink);

  void Text(const char* field, const text_rule& rule, std::string* out,
            presence presence = presence::kRequired);
  void Boolean(const char* field, bool* out);  // Optional.
  void Number(const char* field, number_range range, double* out);

  // `T` is any integer type that can represent the range.
  template <typename T>
  void Integer(const char* field, integer_range range, T* out,
               presence presence = presence::kRequired);

  // Optional.
  template <typename E, std::size_t kSize>
  void Choice(const char* field, const choice<E> (&choices)[kSize], E* out);

  // A required list of distinct texts, with at least one element.
  void TextList(const char* field, const text_rule& rule,
                std::vector<std::string>* out);

  // A required list of objects. `read(reader, &item)` reads one of them.
  // The values of the member `identity` must be unique.
  template <typename T, typename F>
  void Objects(const char* field, emptiness emptiness, std::string T::*identity,
               std::vector<T>* out, F read);

  // A required object.
  template <typename F>
  void Object(const char* field, F read);

  // Reports a fault of `field` that a check across several fields has found. An
  // empty `field` stands for the whole object.
  void Report(std::string_view field, std::string problem, std::string fix);

  // The same for element `index` of the list `field`.
  void ReportElement(const char* field, std::size_t index, std::string problem,
                     std::string fix);

  // Reports unknown fields, which are those that no call above has read, and
  // repeated fields. Must be called last.
  void Finish();

 private:
  const json_value* Find(const char* field, presence presence);
  const json_value* FindOfKind(const char* field, json_kind kind,
                               presence presence);
  const json_value* FindList(const char* field, emptiness emptiness);
  std::optional<std::int64_t> FindInteger(const char* field,
                                          integer_range range,
                                          presence presence);
  void ReportAt(const std::string& relative, std::string problem,
                std::string fix);
  void ReportUnknown(const json_value& value);
  void ReportKind(const json_value& value, const std::string& pointer,
                  json_kind expected);
  void ReportText(const json_value& value, const std::string& pointer,
                  const text_rule& rule);
  void ReportRepeated(const json_value& value, const std::string& pointer,
                      std::string_view text);
  void ReportChoice(const json_value& value, const char* field,
                    const std::string& texts);

  const json_value& value_;
  std::string pointer_;
  fault_sink* sink_;
  std::vector<std::string_view> known_;  // Fields read so far, at most 32.
};

// Parses `bytes` and reads the object at the root with `read(reader, &out)`.
template <typename T, typename F>
tl::expected<T, faults> ReadDocument(std::string_view bytes,
                                     const std::string& document,
                                     std::size_t max_bytes, F read);

// Parses `bytes`. Reports a document that is too large or not valid JSON.
std::optional<json_value> ParseDocument(std::string_view bytes,
                                        std::size_t max_bytes,
                                        fault_sink* sink);

// ---------------------------------------------------------------------------

template <typename T>
void object_reader::Integer(const char* field, integer_range range, T* out,
                            presence presence) {
  if (auto found = FindInteger(field, range, presence)) {
    *out = static_cast<T>(*found);
  }
}

template <typename E, std::size_t kSize>
void object_reader::Choice(const char* field, const choice<E> (&choices)[kSize],
                           E* out) {
  const json_value* found =
      FindOfKind(field, json_kind::kString, presence::kOptional);
  if (found == nullptr) return;
  std::string texts;
  for (const choice<E>& choice : choices) {
    if (found->text == choice.text) {
      *out = choice.value;
      return;
    }
    if (!texts.empty()) texts += " or ";
    texts += std::string("\"") + choice.text + "\"";
  }
  ReportChoice(*found, field, texts);
}

template <typename T, typename F>
void object_reader::Objects(const char* field, emptiness emptiness,
                            std::string T::*identity, std::vector<T>* out,
                            F read) {
  const json_value* list = FindList(field, emptiness);
  if (list == nullptr) return;
  const std::string list_pointer = AppendToPointer(pointer_, field);
  std::unordered_set<std::string_view> seen;
  out->reserve(list->children.size());  // `seen` views texts in `out`.
  for (const json_value& child : list->children) {
    const std::string pointer =
        AppendToPointer(list_pointer, std::to_string(out->size()));
    T& item = out->emplace_back();
    object_reader reader(child, pointer, sink_);
    read(reader, &item);
    reader.Finish();
    const std::string& id = item.*identity;
    if (!id.empty() && !seen.insert(id).second) {
      ReportRepeated(child, pointer, id);
    }
  }
}

template <typename F>
void object_reader::Object(const char* field, F read) {
  const json_value* found =
      FindOfKind(field, json_kind::kObject, presence::kRequired);
  if (found == nullptr) return;
  object_reader reader(*found, AppendToPointer(pointer_, field), sink_);
  read(reader);
  reader.Finish();
}

template <typename T, typename F>
tl::expected<T, faults> ReadDocument(std::string_view bytes,
                                     const std::string& document,
                                     std::size_t max_bytes, F read) {
  fault_sink sink(document);
  T out;
  if (auto root = ParseDocument(bytes, max_bytes, &sink)) {
    object_reader reader(*root, "", &sink);
    read(reader, &out);
    reader.Finish();
  }
  if (!sink.Empty()) return tl::unexpected(sink.Take());
  return out;
}

}  // namespace pimentohall::config

#endif  // PIMENTOHALL_CONFIG_DOCUMENT_READER_H_
