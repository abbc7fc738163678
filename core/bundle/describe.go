package bundle

import "fmt"

// Describe returns a delta as text for operators: the generations, then one line for each change, in the order of the sections.
func Describe(delta Delta) []string {
	lines := []string{fmt.Sprintf("generation: %d -> %d", delta.From, delta.To)}
	if delta.Topology != nil {
		lines = append(lines, describeValue(SectionTopology, delta.Topology))
	}
	if delta.Limits != nil {
		lines = append(lines, describeValue(SectionLimits, delta.Limits))
	}
	lines = append(lines, describeChange(SectionModels, delta.Models, modelKey)...)
	lines = append(lines, describeChange(SectionServices, delta.Services, serviceKey)...)
	lines = append(lines, describeChange(SectionPlacement, delta.Placement, Placement.key)...)
	lines = append(lines, describeChange(SectionGroups, delta.Groups, groupKey)...)
	lines = append(lines, describeChange("callers", delta.Callers, callerKey)...)
	return lines
}

func describeValue(section string, value any) string {
	return fmt.Sprintf("%s: set %s", section, describeJSON(value))
}

func describeChange[T any](section string, change Change[T], key func(T) string) []string {
	var lines []string
	for _, id := range change.Removals {
		lines = append(lines, fmt.Sprintf("%s: remove %s", section, id))
	}
	for _, entry := range change.Upserts {
		lines = append(lines, fmt.Sprintf("%s: set %s %s", section, key(entry), describeJSON(entry)))
	}
	return lines
}

func describeJSON(value any) string {
	encoded, err := canonicalJSON(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}
