#include "net/located_json.h"

#include <set>

namespace pimentohall::net {
namespace {

using nlohmann::json;

// Counts the lines that the parser has read. The iterator is copied by the
// parser, so the count lives outside.
class counting_iterator {
 public:
  // The names below are the standard library's.
  // NOLINTBEGIN(readability-identifier-naming)
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;
  // NOLINTEND(readability-identifier-naming)

  counting_iterator(const char* at, int* line) : at_(at), line_(line) {}
  const char& operator*() const { return *at_; }
  counting_iterator& operator++() {
    if (*at_ == '\n') ++*line_;
    ++at_;
    return *this;
  }
  friend bool operator==(const counting_iterator& a,
                         const counting_iterator& b) {
    return a.at_ == b.at_;
  }
  friend bool operator!=(const counting_iterator& a,
                         const counting_iterator& b) {
    return a.at_ != b.at_;
  }

 private:
  const char* at_;
  int* line_;
};

// Builds the value and notes where keys and array elements that are objects
// start: these tokens end with their last byte, while the parser reads one
// byte beyond a number.
class locating_builder : public nlohmann::detail::json_sax_dom_parser<json> {
 public:
  locating_builder(located_json* result, const int* line)
      : json_sax_dom_parser(result->root, false),
        result_(result),
        line_(line) {}

  int ErrorLine() const { return error_line_; }

  // The names below are nlohmann's SAX interface.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return Count() && json_sax_dom_parser::null(); }
  bool boolean(bool value) {
    return Count() && json_sax_dom_parser::boolean(value);
  }
  bool number_integer(number_integer_t value) {
    return Count() && json_sax_dom_parser::number_integer(value);
  }
  bool number_unsigned(number_unsigned_t value) {
    return Count() && json_sax_dom_parser::number_unsigned(value);
  }
  bool number_float(number_float_t value, const string_t& text) {
    return Count() && json_sax_dom_parser::number_float(value, text);
  }
  bool string(string_t& value) {
    return Count() && json_sax_dom_parser::string(value);
  }
  bool start_object(std::size_t size) {
    Count();
    result_->lines.emplace(Pointer(), *line_);
    levels_.push_back({false, 0, {}, {}});
    return json_sax_dom_parser::start_object(size);
  }
  bool key(string_t& name) {
    level& top = levels_.back();
    top.name = name;
    const std::string pointer = Pointer();
    if (!top.names.insert(name).second) result_->repeated.push_back(pointer);
    result_->lines.emplace(pointer, *line_);
    return json_sax_dom_parser::key(name);
  }
  bool end_object() {
    levels_.pop_back();
    return json_sax_dom_parser::end_object();
  }
  bool start_array(std::size_t size) {
    Count();
    levels_.push_back({true, 0, {}, {}});
    return json_sax_dom_parser::start_array(size);
  }
  bool end_array() {
    levels_.pop_back();
    return json_sax_dom_parser::end_array();
  }
  template <typename exception>
  bool parse_error(std::size_t /*at*/, const std::string& /*token*/,
                   const exception& /*problem*/) {
    error_line_ = *line_;
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  struct level {
    bool is_array;
    std::size_t count;  // Elements begun.
    std::string name;   // Of the current member.
    std::set<std::string> names;
  };

  bool Count() {
    if (!levels_.empty() && levels_.back().is_array) ++levels_.back().count;
    return true;
  }
  std::string Pointer() const {
    std::string pointer;
    for (const level& part : levels_) {
      pointer += "/";
      pointer += part.is_array ? std::to_string(part.count - 1) : part.name;
    }
    return pointer;
  }

  located_json* result_;
  const int* line_;
  int error_line_ = 0;
  std::vector<level> levels_;
};

}  // namespace

int located_json::LineOf(std::string pointer) const {
  for (;;) {
    const auto found = lines.find(pointer);
    if (found != lines.end()) return found->second;
    if (pointer.empty()) return 0;
    pointer.resize(pointer.rfind('/'));
  }
}

tl::expected<located_json, config::fault> ParseLocatedJson(
    std::string_view bytes, const std::string& document) {
  located_json result;
  int line = 1;
  locating_builder builder(&result, &line);
  counting_iterator begin(bytes.data(), &line);
  counting_iterator end(bytes.data() + bytes.size(), &line);
  if (json::sax_parse(begin, end, &builder, json::input_format_t::json, true,
                      true)) {
    return result;
  }
  return tl::make_unexpected(
      config::fault{document, builder.ErrorLine(), "", "not JSON here",
                    "correct the JSON syntax at or before this line"});
}

}  // namespace pimentohall::net
