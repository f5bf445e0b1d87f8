#include "config/document_reader.h"

#include <algorithm>
#include <sstream>

namespace pimentohall::config {
namespace {

constexpr std::size_t kTypicalFields = 8;

std::string Quoted(std::string_view text) {
  return "\"" + Printable(text) + "\"";
}

std::string NumberText(double value) {
  std::ostringstream text;
  text.precision(12);
  text << value;
  return text.str();
}

}  // namespace

void AddFault(fault added, faults* out) {
  if (out->size() >= kMaxFaults) return;
  if (out->size() + 1 == kMaxFaults) {
    added.line = 0;
    added.field.clear();
    added.problem = "further faults are not listed";
    added.fix = "correct those above first";
  }
  out->push_back(std::move(added));
}

void fault_sink::Add(int line, std::string field, std::string problem,
                     std::string fix) {
  AddFault(
      {document_, line, std::move(field), std::move(problem), std::move(fix)},
      &faults_);
}

object_reader::object_reader(const json_value& value, std::string pointer,
                             fault_sink* sink)
    : value_(value), pointer_(std::move(pointer)), sink_(sink) {
  known_.reserve(kTypicalFields);
  if (value_.kind != json_kind::kObject) {
    ReportKind(value_, pointer_, json_kind::kObject);
  }
}

void object_reader::Text(const char* field, const text_rule& rule,
                         std::string* out, presence presence) {
  const json_value* found = FindOfKind(field, json_kind::kString, presence);
  if (found == nullptr) return;
  if (rule.accepts(found->text)) {
    *out = found->text;
  } else {
    ReportText(*found, AppendToPointer(pointer_, field), rule);
  }
}

void object_reader::Boolean(const char* field, bool* out) {
  const json_value* found =
      FindOfKind(field, json_kind::kBoolean, presence::kOptional);
  if (found != nullptr) *out = found->boolean;
}

void object_reader::Number(const char* field, number_range range, double* out) {
  const json_value* found = Find(field, presence::kRequired);
  if (found == nullptr) return;
  const std::string pointer = AppendToPointer(pointer_, field);
  if (found->kind != json_kind::kInteger && found->kind != json_kind::kNumber) {
    ReportKind(*found, pointer, json_kind::kNumber);
  } else if (found->number < range.min || found->number > range.max) {
    sink_->Add(found->line, pointer,
               NumberText(found->number) + " is out of range",
               "use a number from " + NumberText(range.min) + " to " +
                   NumberText(range.max));
  } else {
    *out = found->number;
  }
}

void object_reader::TextList(const char* field, const text_rule& rule,
                             std::vector<std::string>* out) {
  const json_value* list = FindList(field, emptiness::kRefused);
  if (list == nullptr) return;
  const std::string list_pointer = AppendToPointer(pointer_, field);
  std::unordered_set<std::string_view> seen;
  for (std::size_t i = 0; i < list->children.size(); ++i) {
    const json_value& child = list->children[i];
    const std::string pointer =
        AppendToPointer(list_pointer, std::to_string(i));
    if (child.kind != json_kind::kString) {
      ReportKind(child, pointer, json_kind::kString);
    } else if (!rule.accepts(child.text)) {
      ReportText(child, pointer, rule);
    } else if (!seen.insert(child.text).second) {
      ReportRepeated(child, pointer, child.text);
    } else {
      out->push_back(child.text);
    }
  }
}

void object_reader::Report(std::string_view field, std::string problem,
                           std::string fix) {
  const std::string relative =
      field.empty() ? std::string() : AppendToPointer("", field);
  ReportAt(relative, std::move(problem), std::move(fix));
}

void object_reader::ReportElement(const char* field, std::size_t index,
                                  std::string problem, std::string fix) {
  ReportAt(AppendToPointer(AppendToPointer("", field), std::to_string(index)),
           std::move(problem), std::move(fix));
}

void object_reader::ReportAt(const std::string& relative, std::string problem,
                             std::string fix) {
  const json_value* found = FindValue(value_, relative);
  const int line = found != nullptr ? found->line : value_.line;
  sink_->Add(line, pointer_ + relative, std::move(problem), std::move(fix));
}

void object_reader::Finish() {
  if (value_.kind != json_kind::kObject) return;
  std::uint32_t seen = 0;  // One bit for each known field.
  for (const json_value& child : value_.children) {
    const auto known = std::find(known_.begin(), known_.end(), child.key);
    if (known == known_.end()) {
      ReportUnknown(child);
      continue;
    }
    const std::uint32_t bit = 1U << (known - known_.begin());
    if ((seen & bit) != 0) {
      sink_->Add(child.line, AppendToPointer(pointer_, child.key),
                 "field " + Quoted(child.key) + " appears twice",
                 "keep one of them");
    }
    seen |= bit;
  }
}

void object_reader::ReportUnknown(const json_value& value) {
  std::string known;
  for (std::string_view field : known_) {
    known += known.empty() ? "" : ", ";
    known += field;
  }
  sink_->Add(value.line, AppendToPointer(pointer_, value.key),
             "unknown field " + Quoted(value.key),
             "remove it or correct its name; fields here are " + known);
}

const json_value* object_reader::Find(const char* field, presence presence) {
  known_.emplace_back(field);
  if (value_.kind != json_kind::kObject) return nullptr;
  for (const json_value& child : value_.children) {
    if (child.key == field) return &child;
  }
  if (presence == presence::kRequired) {
    sink_->Add(value_.line, AppendToPointer(pointer_, field),
               std::string("missing field \"") + field + "\"", "add it");
  }
  return nullptr;
}

const json_value* object_reader::FindOfKind(const char* field, json_kind kind,
                                            presence presence) {
  const json_value* found = Find(field, presence);
  if (found == nullptr || found->kind == kind) return found;
  ReportKind(*found, AppendToPointer(pointer_, field), kind);
  return nullptr;
}

const json_value* object_reader::FindList(const char* field,
                                          emptiness emptiness) {
  const json_value* list =
      FindOfKind(field, json_kind::kArray, presence::kRequired);
  if (list == nullptr) return nullptr;
  if (list->children.empty() && emptiness == emptiness::kRefused) {
    sink_->Add(list->line, AppendToPointer(pointer_, field), "empty list",
               "add at least one element");
  }
  return list;
}

std::optional<std::int64_t> object_reader::FindInteger(const char* field,
                                                       integer_range range,
                                                       presence presence) {
  const json_value* found = Find(field, presence);
  if (found == nullptr) return std::nullopt;
  const std::string pointer = AppendToPointer(pointer_, field);
  const std::string fix = "use an integer from " + std::to_string(range.min) +
                          " to " + std::to_string(range.max);
  if (found->kind == json_kind::kInteger) {
    if (found->integer >= range.min && found->integer <= range.max) {
      return found->integer;
    }
    sink_->Add(found->line, pointer,
               std::to_string(found->integer) + " is out of range", fix);
  } else if (found->kind == json_kind::kNumber) {
    sink_->Add(found->line, pointer,
               NumberText(found->number) + " is not an integer in range", fix);
  } else {
    ReportKind(*found, pointer, json_kind::kInteger);
  }
  return std::nullopt;
}

void object_reader::ReportKind(const json_value& value,
                               const std::string& pointer, json_kind expected) {
  sink_->Add(value.line, pointer,
             std::string("wrong type: ") + KindName(value.kind),
             std::string("use ") + KindName(expected));
}

void object_reader::ReportText(const json_value& value,
                               const std::string& pointer,
                               const text_rule& rule) {
  const std::string shown =
      rule.secret ? "of " + std::to_string(value.text.size()) + " bytes"
                  : Quoted(value.text);
  sink_->Add(value.line, pointer,
             std::string("bad ") + rule.text_kind + " " + shown,
             std::string("use ") + rule.fix);
}

void object_reader::ReportRepeated(const json_value& value,
                                   const std::string& pointer,
                                   std::string_view text) {
  sink_->Add(value.line, pointer, Quoted(text) + " is listed twice",
             "rename or remove one of them");
}

void object_reader::ReportChoice(const json_value& value, const char* field,
                                 const std::string& texts) {
  sink_->Add(value.line, AppendToPointer(pointer_, field),
             "unknown value " + Quoted(value.text), "use " + texts);
}

std::optional<json_value> ParseDocument(std::string_view bytes,
                                        std::size_t max_bytes,
                                        fault_sink* sink) {
  if (bytes.size() > max_bytes) {
    sink->Add(0, "",
              std::to_string(bytes.size()) + " bytes, more than the limit of " +
                  std::to_string(max_bytes),
              "make the document smaller");
    return std::nullopt;
  }
  auto root = ParseJsonText(bytes);
  if (root) return std::move(*root);
  sink->Add(root.error().line, "", root.error().problem,
            "write the document as JSON (comments are allowed)");
  return std::nullopt;
}

}  // namespace pimentohall::config
