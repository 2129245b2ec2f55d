package cmds

import (
	"bytes"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/conf"
)

func newCheck() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "check -c FILE",
		Short:   "Check a file of settings or declarations without a running cell",
		Example: "  plantainwinch check -c entry.ini\n  plantainwinch check -c cell.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := os.ReadFile(path)
			if err != nil {
				return merry.Errorf("the file cannot be read: %v", err)
			}
			kind := "declarations"
			if isSettings(text) {
				kind = "settings"
				err = checkSettings(path, text)
			} else {
				_, err = conf.DecodeDeclarations(path, text)
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s are in order\n", path, kind)
			return nil
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "file to check")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// checkSettings decodes the settings of an entry of the platform that they select.
func checkSettings(path string, text []byte) error {
	adapter, err := conf.DecodeAdapter(path, text)
	if err != nil {
		return err
	}
	if adapter == conf.AdapterRegion {
		_, err = conf.DecodeRegion(path, text)
	} else {
		_, err = conf.Decode(path, text)
	}
	return err
}

// isSettings reports whether text is an entry's settings rather than declarations. Only settings have one of the
// sections [Entry], [Listen] and [Cell].
func isSettings(text []byte) bool {
	for _, line := range bytes.Split(text, []byte("\n")) {
		if s := string(bytes.TrimSpace(line)); s == "[Entry]" || s == "[Listen]" || s == "[Cell]" {
			return true
		}
	}
	return false
}
