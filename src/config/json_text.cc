#include "config/json_text.h"

#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace pimentohall::config {
namespace {

constexpr std::size_t kMaxQuotedBytes = 64;
constexpr std::size_t kMaxParserMessageBytes = 160;

std::string PrintablePrefix(std::string_view text, std::size_t limit) {
  std::string result;
  for (char c : text.substr(0, limit)) {
    const bool printable = c >= 0x20 && c < 0x7f;
    result.push_back(printable ? c : '?');
  }
  if (text.size() > limit) result += "...";
  return result;
}

// The position that the parser has read to. The parser copies its iterators, so
// the copies share one position.
struct read_position {
  int newlines = 0;
  char last = 0;

  // The line of the last character read. The lexer reads one character past a
  // number, which may be the end of the line.
  int Line() const { return 1 + newlines - (last == '\n' ? 1 : 0); }
};

// Reads characters and counts lines.
class counting_iterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  counting_iterator(const char* next, read_position* position)
      : next_(next), position_(position) {}

  reference operator*() const { return *next_; }
  counting_iterator& operator++() {
    position_->last = *next_;
    if (*next_ == '\n') ++position_->newlines;
    ++next_;
    return *this;
  }
  friend bool operator==(const counting_iterator& a,
                         const counting_iterator& b) {
    return a.next_ == b.next_;
  }
  friend bool operator!=(const counting_iterator& a,
                         const counting_iterator& b) {
    return !(a == b);
  }

 private:
  const char* next_;
  read_position* position_;
};

// Receives the parser's events and builds the tree.
class tree_builder {
 public:
  explicit tree_builder(const read_position* position) : position_(position) {}

  json_value& Root() { return root_; }
  json_error& Error() { return error_; }

  // Names and types of these functions are those of nlohmann's SAX interface.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return Add(json_kind::kNull) != nullptr; }

  bool boolean(bool value) {
    json_value* node = Add(json_kind::kBoolean);
    if (node == nullptr) return false;
    node->boolean = value;
    return true;
  }

  bool number_integer(std::int64_t value) {
    json_value* node = Add(json_kind::kInteger);
    if (node == nullptr) return false;
    node->integer = value;
    node->number = static_cast<double>(value);
    return true;
  }

  bool number_unsigned(std::uint64_t value) {
    constexpr auto kMax =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (value <= kMax) return number_integer(static_cast<std::int64_t>(value));
    return number_float(static_cast<double>(value), std::string());
  }

  bool number_float(double value, const std::string& /*text*/) {
    json_value* node = Add(json_kind::kNumber);
    if (node == nullptr) return false;
    node->number = value;
    return true;
  }

  bool string(std::string& value) {
    json_value* node = Add(json_kind::kString);
    if (node == nullptr) return false;
    node->text = std::move(value);
    return true;
  }

  bool binary(nlohmann::json::binary_t& /*value*/) { return false; }

  bool start_object(std::size_t /*size*/) { return Open(json_kind::kObject); }
  bool start_array(std::size_t /*size*/) { return Open(json_kind::kArray); }
  bool end_object() { return Close(); }
  bool end_array() { return Close(); }

  bool key(std::string& value) {
    key_ = std::move(value);
    return true;
  }

  bool parse_error(std::size_t /*offset*/, const std::string& /*token*/,
                   const nlohmann::json::exception& exception) {
    return Fail(PrintablePrefix(WithoutContext(exception.what()),
                                kMaxParserMessageBytes));
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  // Strips "; last read: '...'", which may hold part of a secret.
  static std::string_view WithoutContext(std::string_view message) {
    return WithoutPrefix(message.substr(0, message.find("; last read:")));
  }

  // Strips "[json.exception...] parse error at line 1, column 2: ".
  static std::string_view WithoutPrefix(std::string_view message) {
    for (std::string_view mark : {", column ", "] "}) {
      const std::size_t start = message.find(mark);
      if (start == std::string_view::npos) continue;
      if (mark == "] ") return message.substr(start + mark.size());
      const std::size_t colon = message.find(": ", start);
      if (colon != std::string_view::npos) return message.substr(colon + 2);
    }
    return message;
  }

  bool Fail(std::string problem) {
    error_.line = position_->Line();
    error_.problem = std::move(problem);
    return false;
  }

  // Null if the document has too many values.
  json_value* Add(json_kind kind) {
    if (++values_ > kMaxValues) {
      Fail("more than " + std::to_string(kMaxValues) + " values");
      return nullptr;
    }
    json_value* node = &root_;
    if (!open_.empty()) node = &open_.back()->children.emplace_back();
    node->kind = kind;
    node->line = position_->Line();
    node->key = std::move(key_);
    key_.clear();
    return node;
  }

  bool Open(json_kind kind) {
    if (open_.size() >= kMaxDepth) {
      return Fail("nested deeper than " + std::to_string(kMaxDepth) +
                  " levels");
    }
    json_value* node = Add(kind);
    if (node == nullptr) return false;
    open_.push_back(node);
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  const read_position* position_;
  json_value root_;
  json_error error_;
  std::string key_;
  std::size_t values_ = 0;
  // The arrays and objects that are not closed yet, outermost first. Only the
  // last child of a value can be open, and no sibling is added while it is
  // open, so `children` is not reallocated and the pointers stay valid.
  std::vector<json_value*> open_;
};

std::string Unescape(std::string_view token) {
  std::string result;
  for (std::size_t i = 0; i < token.size(); ++i) {
    if (token[i] == '~' && i + 1 < token.size()) {
      ++i;
      result.push_back(token[i] == '1' ? '/' : '~');
    } else {
      result.push_back(token[i]);
    }
  }
  return result;
}

const json_value* FindChild(const json_value& parent, const std::string& name) {
  if (parent.kind == json_kind::kArray) {
    for (std::size_t i = 0; i < parent.children.size(); ++i) {
      if (std::to_string(i) == name) return &parent.children[i];
    }
    return nullptr;
  }
  for (const json_value& child : parent.children) {
    if (child.key == name) return &child;
  }
  return nullptr;
}

}  // namespace

const char* KindName(json_kind kind) {
  switch (kind) {
    case json_kind::kNull:
      return "null";
    case json_kind::kBoolean:
      return "a boolean";
    case json_kind::kInteger:
      return "an integer";
    case json_kind::kNumber:
      return "a number";
    case json_kind::kString:
      return "a string";
    case json_kind::kArray:
      return "an array";
    case json_kind::kObject:
      return "an object";
  }
  return "unknown";
}

tl::expected<json_value, json_error> ParseJsonText(std::string_view text) {
  read_position position;
  const counting_iterator first(text.data(), &position);
  const counting_iterator last(text.data() + text.size(), &position);
  tree_builder builder(&position);
  const bool parsed = nlohmann::json::sax_parse(
      first, last, &builder, nlohmann::json::input_format_t::json,
      /*strict=*/true, /*ignore_comments=*/true);
  if (!parsed) return tl::unexpected(std::move(builder.Error()));
  return std::move(builder.Root());
}

const json_value* FindValue(const json_value& root, std::string_view pointer) {
  const json_value* value = &root;
  while (value != nullptr && !pointer.empty()) {
    pointer.remove_prefix(1);  // The leading "/".
    const std::size_t end = std::min(pointer.find('/'), pointer.size());
    value = FindChild(*value, Unescape(pointer.substr(0, end)));
    pointer.remove_prefix(end);
  }
  return value;
}

std::string AppendToPointer(const std::string& pointer,
                            std::string_view field) {
  std::string result = pointer + "/";
  for (char c : field) {
    if (c == '~') {
      result += "~0";
    } else if (c == '/') {
      result += "~1";
    } else {
      result.push_back(c);
    }
  }
  return result;
}

std::string Printable(std::string_view text) {
  return PrintablePrefix(text, kMaxQuotedBytes);
}

}  // namespace pimentohall::config
