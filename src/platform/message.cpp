#include "platform/message.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <charconv>
#include <cmath>

#include "config/settings_reader.hpp"
#include "net/connections.hpp"

namespace heathturn {
namespace {

constexpr std::array<std::string_view, 8> op_names = {"offer", "ringing", "accept", "end",
                                                      "ended", "test",    "tested", "group"};

std::string text_of(const rapidjson::Value& value) { return {value.GetString(), value.GetStringLength()}; }

std::string number_text(const rapidjson::Value& value) {
  if (value.IsInt64()) return std::to_string(value.GetInt64());
  if (value.IsUint64()) return std::to_string(value.GetUint64());
  std::array<char, 32> buffer{};
  return {buffer.data(), std::to_chars(buffer.data(), buffer.data() + 32, value.GetDouble()).ptr};
}

bool is_call_id(const std::string& id) {
  return id.size() == 16 && id.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

std::optional<double> to_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

/// Load reports name their values either as the simulator does or as the settings do. Returns the latter.
std::string_view settings_name_of(std::string_view name) {
  constexpr std::array<std::pair<std::string_view, std::string_view>, 8> settings_names = {
      {{"x0", "spare"},
       {"x1", "total"},
       {"util", "utilization"},
       {"queue", "backlog"},
       {"inflight", "outstanding"},
       {"latency_ms", "recent_ms"},
       {"qps", "allowed"},
       {"eps", "cut_by"}}};
  for (const auto& [wire, settings_name] : settings_names) {
    if (name == wire) return settings_name;
  }
  return name;
}

}  // namespace

const std::string* Message::field(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) return &value;
  }
  return nullptr;
}

double Message::number(std::string_view name, double fallback) const {
  const auto* value = field(name);
  return value == nullptr ? fallback : to_number(*value).value_or(fallback);
}

Message parse_message(const std::string& line) {
  rapidjson::Document json;
  // Iterative, so that thousands of nested brackets cannot overflow the stack.
  json.Parse<rapidjson::kParseIterativeFlag>(line.data(), line.size());
  if (json.HasParseError() || !json.IsObject()) throw ProtocolError{reason::malformed};
  Message message;
  const auto op = json.FindMember("op");
  if (op == json.MemberEnd() || !op->value.IsString()) throw ProtocolError{reason::malformed};
  const auto op_name = text_of(op->value);
  std::size_t index = 0;
  while (index < op_names.size() && op_names[index] != op_name) ++index;
  if (index == op_names.size()) throw ProtocolError{reason::unknown_op};
  message.op = static_cast<Op>(index);
  if (const auto call = json.FindMember("call"); call != json.MemberEnd()) {
    if (!call->value.IsString()) throw ProtocolError{reason::malformed};
    message.call_id = text_of(call->value);
  }
  const bool needs_call_id = message.op != Op::group && message.op != Op::test && message.op != Op::tested;
  if (needs_call_id && !is_call_id(message.call_id)) throw ProtocolError{reason::malformed};
  if (const auto with = json.FindMember("with"); with != json.MemberEnd() && !with->value.IsNull()) {
    if (!with->value.IsObject()) throw ProtocolError{reason::malformed};
    for (const auto& member : with->value.GetObject()) {
      if (member.value.IsString()) {
        message.fields.emplace_back(text_of(member.name), text_of(member.value));
      } else if (member.value.IsNumber()) {
        message.fields.emplace_back(text_of(member.name), number_text(member.value));
      } else {
        throw ProtocolError{reason::malformed};
      }
    }
  }
  if (const auto why = json.FindMember("why"); why != json.MemberEnd() && !why->value.IsNull()) {
    if (!why->value.IsInt()) throw ProtocolError{reason::malformed};
    message.code = why->value.GetInt();
  }
  if (const auto desc = json.FindMember("desc"); desc != json.MemberEnd() && !desc->value.IsNull()) {
    if (!desc->value.IsString()) throw ProtocolError{reason::malformed};
    message.description = text_of(desc->value);
  }
  return message;
}

std::string serialize_message(const Message& message) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  const auto write_string = [&json](std::string_view text) {
    json.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  };
  json.StartObject();
  json.Key("op");
  write_string(op_names[static_cast<std::size_t>(message.op)]);
  json.Key("call");
  write_string(message.call_id);
  json.Key("with");
  json.StartObject();
  for (const auto& [key, value] : message.fields) {
    write_string(key);
    write_string(value);
  }
  json.EndObject();
  if (message.code) {
    json.Key("why");
    json.Int(*message.code);
  }
  if (message.description) {
    json.Key("desc");
    write_string(*message.description);
  }
  json.EndObject();
  return std::string(out.GetString(), out.GetSize()) + "\n";
}

NamedNumbers parse_named_numbers(const std::string& text) {
  NamedNumbers out;
  std::string_view rest = text;
  while (!rest.empty()) {
    const auto end = std::min(rest.find(';'), rest.size());
    const auto part = rest.substr(0, end);
    const auto colon = part.find(':');
    const auto value = colon == std::string_view::npos ? std::nullopt : to_number(part.substr(colon + 1));
    if (value) {
      out.values.emplace_back(part.substr(0, colon), *value);
    } else {
      out.well_formed = false;
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return out;
}

maddershed::LoadReport parse_load_report(const std::string& text, const std::vector<std::string>& columns) {
  std::vector<float> values(columns.size(), -1.0F);
  for (const auto& [name, value] : parse_named_numbers(text).values) {
    for (std::size_t i = 0; i < columns.size(); ++i) {
      if (columns[i] == name || columns[i] == settings_name_of(name)) values[i] = static_cast<float>(value);
    }
  }
  return maddershed::to_load_report(columns, values);
}

}  // namespace heathturn
