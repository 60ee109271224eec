#include "codec/yaml_node.h"

#include <sstream>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    /** Thrown to stop yaml-cpp's parser after an error that makes the rest of the document meaningless. */
    struct parse_aborted { };

    text_position positionOf(const std::string& file, const YAML::Mark& mark)
    {
        return { file, mark.line + 1, mark.column + 1 };
    }

    /** Builds the tree from yaml-cpp's events, so that the limits bound the memory during the parse. */
    class tree_builder : public YAML::EventHandler {
    public:
        tree_builder(std::string file, finding_list& findings)
            : m_file(std::move(file))
            , m_findings(findings)
        {
        }

        yaml_node takeRoot() { return std::move(m_root); }

        void OnDocumentStart(const YAML::Mark&) override { }
        void OnDocumentEnd() override { }

        void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
        {
            checkNode(mark, "?", anchor);
            yaml_node node;
            node.position = positionOf(m_file, mark);
            add(std::move(node));
        }

        void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override { abortParse(mark, "an alias", "plain values"); }

        void OnScalar(
            const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, const std::string& value) override
        {
            checkNode(mark, tag, anchor);
            yaml_node node;
            node.type = yaml_node::kind::Scalar;
            node.position = positionOf(m_file, mark);
            node.text = value;
            add(std::move(node));
        }

        void OnSequenceStart(
            const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            open(mark, tag, anchor, yaml_node::kind::List);
        }

        void OnSequenceEnd() override { close(); }

        void OnMapStart(
            const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            open(mark, tag, anchor, yaml_node::kind::Map);
        }

        void OnMapEnd() override { close(); }

    private:
        /** A list or map that is being read; `pending` holds the key of a map until its value has been read. */
        struct open_node {
            yaml_node node;
            bool hasKey = false;
            yaml_field pending;
        };

        [[noreturn]] void abortParse(const YAML::Mark& mark, std::string what, std::string expected)
        {
            m_findings.add(positionOf(m_file, mark), std::move(what), std::move(expected));
            throw parse_aborted();
        }

        void checkNode(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor)
        {
            if (anchor != YAML::NullAnchor)
                abortParse(mark, "an anchor", "plain values");
            if (!tag.empty() && tag != "?" && tag != "!")
                abortParse(mark, absl::StrCat("the tag ", tag), "plain values");
            if (++m_nodes > maximumYamlNodes)
                abortParse(mark, "too many values", absl::StrCat("at most ", maximumYamlNodes));
        }

        void open(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, yaml_node::kind type)
        {
            checkNode(mark, tag, anchor);
            if (m_open.size() >= maximumYamlDepth)
                abortParse(mark, "nested too deeply", absl::StrCat("at most ", maximumYamlDepth, " levels"));
            open_node opened;
            opened.node.type = type;
            opened.node.position = positionOf(m_file, mark);
            m_open.push_back(std::move(opened));
        }

        void close()
        {
            yaml_node closed = std::move(m_open.back().node);
            m_open.pop_back();
            add(std::move(closed));
        }

        void add(yaml_node node)
        {
            if (m_open.empty()) {
                m_root = std::move(node);
                return;
            }
            open_node& parent = m_open.back();
            if (parent.node.type == yaml_node::kind::List)
                parent.node.items.push_back(std::move(node));
            else if (parent.hasKey)
                addField(parent, std::move(node));
            else
                addKey(parent, node);
        }

        void addKey(open_node& parent, const yaml_node& key)
        {
            parent.hasKey = true;
            parent.pending = {};
            parent.pending.key = key.text;
            parent.pending.position = key.position;
            if (key.type != yaml_node::kind::Scalar)
                m_findings.add(key.position, "a key that is not a scalar", "a scalar key");
        }

        void addField(open_node& parent, yaml_node value)
        {
            parent.hasKey = false;
            parent.pending.value = std::move(value);
            if (parent.node.fields.size() >= maximumYamlFields) {
                m_findings.add(parent.pending.position, "too many keys", absl::StrCat("at most ", maximumYamlFields));
                throw parse_aborted();
            }
            for (const yaml_field& field : parent.node.fields) {
                if (field.key == parent.pending.key)
                    m_findings.add(parent.pending.position, absl::StrCat("the key '", field.key, "' appears twice"),
                        "each key once");
            }
            parent.node.fields.push_back(std::move(parent.pending));
        }

        std::string m_file;
        finding_list& m_findings;
        std::size_t m_nodes = 0;
        std::vector<open_node> m_open;
        yaml_node m_root;
    };

    void parseInto(tree_builder& builder, const std::string& text, const std::string& fileName, finding_list& findings)
    {
        try {
            std::istringstream stream(text);
            YAML::Parser parser(stream);
            if (!parser.HandleNextDocument(builder))
                findings.add({ fileName, 1, 1 }, "an empty file", "a map");
            else if (parser.HandleNextDocument(builder))
                findings.add({ fileName, 1, 1 }, "more than one document", "one document");
        } catch (const parse_aborted&) {
            return;
        } catch (const YAML::Exception& error) {
            findings.add(positionOf(fileName, error.mark), absl::StrCat("invalid YAML: ", error.msg), "");
        }
    }

} // namespace

absl::StatusOr<yaml_node> parseYaml(const std::string& text, const std::string& fileName, finding_list& findings)
{
    finding_list found;
    tree_builder builder(fileName, found);
    if (text.size() > maximumYamlBytes)
        found.add({ fileName, 0, 0 }, absl::StrCat(text.size(), " bytes of YAML"),
            absl::StrCat("at most ", maximumYamlBytes));
    else
        parseInto(builder, text, fileName, found);
    findings.append(found);
    if (!found.empty())
        return found.toStatus();
    return builder.takeRoot();
}

} // namespace plantainlatch
